/** The operators' service of a state host. */
import { create } from "@bufbuild/protobuf";
import { MemberSchema, type StateSettings } from "../../schema/mod.ts";
import { addOperatorService } from "../control/operator_service.ts";
import type { ProcessContext } from "../common/process_context.ts";
import { StateClient } from "../common/state_client.ts";
import type { StateHost } from "./state_host.ts";

/**
 * Adds the operators' service to a state host that is not listening yet. Returns
 * the client through which the service reaches the replicated state.
 */
export function addStateOperators(
  host: StateHost,
  settings: StateSettings,
  context: ProcessContext,
): StateClient {
  const state = new StateClient({
    getAddresses: () => settings.members.map((member) => member.address),
    credentials: host.credentials,
    clock: context.clock,
  });
  addOperatorService({
    server: host.server,
    state,
    groupCount: settings.itemGroups ?? 1,
    isSecure: host.credentials.isSecure,
    getDump: () => host.getDump(),
    countOpenWork: () =>
      Promise.resolve({ streams: 0, claims: 0, unreachable: ["entries"] }),
    changeMember: (req) =>
      host.changeMember(req.group, {
        add: req.add === undefined ? undefined : create(MemberSchema, req.add),
        promote: req.promote || undefined,
        remove: req.remove || undefined,
      }),
    getLeaderAddress: (group) => host.getLeaderAddress(group),
  });
  return state;
}
