/**
 * Records in the fleet group which backend servers leave, before a control host
 * acknowledges that. Other control hosts may have saved such a server as ready, and
 * would give it out again after a restart.
 */
import { create } from "@bufbuild/protobuf";
import { tryFindRegistrationError } from "../membership/mod.ts";
import {
  type Registration,
  type ServerStart,
  ServerStartSchema,
  ServerState,
} from "../schema/mod.ts";
import type { StateClient } from "../services/common/state_client.ts";
import { getReason } from "../sys/errors.ts";
import type { Log } from "../sys/log.ts";
import { FLEET_GROUP } from "./groups.ts";
import { encodeFleetCommand } from "./state_process.ts";

/** Options of a {@linkcode DepartureRecorder}. */
export interface DepartureRecorderOptions {
  readonly fleetClient: Pick<StateClient, "propose">;
  /** Whether the group has recorded a departure, as far as it is known here. */
  readonly isRecorded: (server: ServerStart) => boolean;
  /** Saves what this host knows on its disk. */
  readonly save: () => Promise<void>;
  readonly log: Log;
}

/**
 * Timeout of a record, in milliseconds: the server waits for one second for its
 * acknowledgement.
 */
const RECORD_TIMEOUT_MS = 500;

/** Records the departures that one control host hears of. */
export class DepartureRecorder {
  readonly #options: DepartureRecorderOptions;

  constructor(options: DepartureRecorderOptions) {
    this.#options = options;
  }

  /**
   * Resolves once a registration that says that its server leaves is recorded.
   * Without a quorum it is saved on this host alone: the server leaves in any case.
   */
  async record(registration: Registration): Promise<void> {
    const { fleetClient, isRecorded, save, log } = this.#options;
    if (registration.state === ServerState.READY) return;
    if (tryFindRegistrationError(registration) !== undefined) return;
    const { id, bornMs } = registration;
    // Without the time of its start, the record would hold for each later start.
    if (bornMs === 0n) return;
    const server = create(ServerStartSchema, { id, bornMs });
    if (isRecorded(server)) return;
    const command = encodeFleetCommand({ case: "recordLeft", value: server });
    try {
      await fleetClient.propose(FLEET_GROUP, command, RECORD_TIMEOUT_MS);
    } catch (error) {
      log.warn("departure_not_recorded", {
        server: id,
        reason: getReason(error),
      });
      await save();
    }
  }
}
