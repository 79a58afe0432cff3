/**
 * Keeps a store host retired when it registers under a new id because it lost its
 * disk: an operator was told that it is to be taken away. The leader of the fleet group
 * decides before it proposes the registration, so members of older builds apply the same
 * commands as the others.
 */
import { fromBinary } from "@bufbuild/protobuf";
import {
  FleetCommandSchema,
  type HostList,
  type HostRecord,
  HostRole,
  MessageCode,
  Verdict,
} from "../schema/mod.ts";
import { ServingError } from "../sys/errors.ts";
import type { Log } from "../sys/log.ts";
import type { CommandAdmission, CommandProposer } from "./group_member.ts";
import { encodeFleetCommand } from "./state_process.ts";

/** Options of a {@linkcode HostAdmission}. */
export interface HostAdmissionOptions {
  readonly getHosts: () => HostList;
  readonly log: Log;
}

/** Decides on the registrations of hosts that a leader is asked to propose. */
export class HostAdmission implements CommandAdmission {
  readonly #options: HostAdmissionOptions;

  constructor(options: HostAdmissionOptions) {
    this.#options = options;
  }

  async admit(
    command: Uint8Array,
    { canServe, propose }: CommandProposer,
  ): Promise<Uint8Array> {
    const { command: body } = fromBinary(FleetCommandSchema, command);
    const isStore = body.case === "registerHost" &&
      body.value.role === HostRole.STORE;
    if (!isStore) return await propose(command);
    if (!canServe) throw createNotSettledError();
    const host = body.value;
    if (!isStillRetired(this.#options.getHosts(), host)) {
      return await propose(command);
    }
    const { id, name } = host;
    this.#options.log.info("host_stays_retired", { host: name, id });
    // Both enter the log at once: a host is never known without its retirement.
    const [reply] = await Promise.all([
      propose(command),
      propose(encodeFleetCommand({ case: "retireHost", value: name })),
    ]);
    return reply;
  }
}

/** Whether a host is known under another id, and retired. */
function isStillRetired(hosts: HostList, host: HostRecord): boolean {
  const known = hosts.hosts.find(({ address, name, role }) =>
    role === HostRole.STORE && address === host.address && name === host.name
  );
  return known !== undefined && known.id !== host.id &&
    hosts.retired.includes(known.id);
}

/** The leader may not have applied a retirement of an earlier term yet. */
function createNotSettledError(): ServingError {
  return new ServingError(MessageCode.NOT_LEADER, { verdict: Verdict.NOT_RUN });
}
