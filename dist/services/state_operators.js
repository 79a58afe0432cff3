/** Operators' calls at a state host. */
import { create } from "@bufbuild/protobuf";
import { MemberSchema } from "../schema/mod.js";
import { addOperatorService } from "./operator_service.js";
import { StateClient } from "./state_client.js";
/** Adds the operators' service to a state host, before it listens. */
export function addStateOperators(host, settings, context) {
    const state = new StateClient({
        addresses: settings.members.map((member) => member.address),
        credentials: host.credentials,
        clock: context.clock,
    });
    addOperatorService({
        server: host.server,
        state,
        groupCount: settings.itemGroups ?? 1,
        isSecure: host.credentials.isSecure,
        getDump: () => host.getDump(),
        countEntries: () => Promise.resolve({ streams: 0, claims: 0, unreachable: ["entries"] }),
        changeMember: (req) => host.changeMember(req.group, {
            add: req.add === undefined ? undefined : create(MemberSchema, req.add),
            promote: req.promote || undefined,
            remove: req.remove || undefined,
        }),
        getLeaderAddress: (group) => host.getLeaderAddress(group),
    });
    return state;
}
//# sourceMappingURL=state_operators.js.map