/**
 * Infrastructure that control hosts and store hosts share: the data folder, the
 * gRPC server for replica messages and commands, and the registration of the
 * host with the fleet group.
 */
import { create, toBinary } from "@bufbuild/protobuf";
import type { MessageInitShape } from "@bufbuild/protobuf";
import {
  FleetCommandSchema,
  type FleetSettings,
  HostRecordSchema,
  type HostRole,
  MessageCode,
  Replicas,
  State,
} from "../schema/mod.ts";
import type { ProcessContext } from "../services/common/process_context.ts";
import { StateClient } from "../services/common/state_client.ts";
import { getReason, ServingError } from "../sys/errors.ts";
import { DiskFolder, type Folder } from "../sys/files.ts";
import { openFolder, openPort } from "../sys/listening.ts";
import {
  createCredentials,
  type RpcCredentials,
  RpcServer,
} from "../sys/rpc.ts";
import { FLEET_GROUP } from "./groups.ts";
import type { GroupMember } from "./group_member.ts";

/** Timeout for committing a registration, in milliseconds. */
const REGISTRATION_TIMEOUT_MS = 2_000;

/** Delay before a failed registration is retried, in milliseconds. */
const REGISTRATION_RETRY_DELAY_MS = 300;

/** The process that hosts one {@linkcode GroupMember}. */
export class StateHostProcess {
  readonly settings: FleetSettings;
  readonly context: ProcessContext;
  readonly credentials: RpcCredentials;
  readonly server: RpcServer;
  /** Address at which other processes reach this one. */
  readonly address: string;
  readonly #getMember: () => GroupMember | undefined;

  constructor(options: {
    settings: FleetSettings;
    context: ProcessContext;
    getMember: () => GroupMember | undefined;
  }) {
    const { settings, context } = options;
    this.settings = settings;
    this.context = context;
    this.#getMember = options.getMember;
    this.address = `${settings.ip}:${settings.peerPort}`;
    this.credentials = createCredentials(undefined, context.isPartitioned);
    this.server = new RpcServer(this.credentials);
    this.#registerServices();
  }

  /** Starts to listen for other processes. */
  listen(): Promise<unknown> {
    return openPort(
      () => this.server.listen(getBindAddress(this.settings)),
      this.context,
    );
  }

  openFolder(): Promise<Folder> {
    const path = this.settings.dataFolder ?? "";
    return openFolder(async () => {
      try {
        const folder = await DiskFolder.open(path);
        await folder.removeTemporaryFiles();
        return folder;
      } catch (error) {
        throw new ServingError(MessageCode.FOLDER_UNWRITABLE, {
          parameters: { path, reason: getReason(error) },
        });
      }
    }, this.context);
  }

  /** Creates a client that sends commands to the leader of the fleet group. */
  createFleetClient(
    getAddresses: () => readonly string[],
    tryGetLeader?: () => string | undefined,
  ): StateClient {
    return new StateClient({
      getAddresses,
      ...tryGetLeader === undefined ? {} : { tryGetLeader },
      credentials: this.credentials,
      clock: this.context.clock,
    });
  }

  /** Registers this host; retries until the fleet group has committed it. */
  async registerHost(
    client: StateClient,
    id: string,
    role: HostRole,
    isStopping: () => boolean,
  ): Promise<void> {
    const command = encodeFleetCommand({
      case: "registerHost",
      value: create(HostRecordSchema, {
        id,
        role,
        address: this.address,
        dataCentre: this.settings.dataCentre,
        name: this.settings.id,
      }),
    });
    while (!isStopping()) {
      try {
        await client.propose(FLEET_GROUP, command, REGISTRATION_TIMEOUT_MS);
        this.context.log.info("host_registered", { id });
        return;
      } catch (error) {
        this.context.log.warn("host_registration_failed", {
          id,
          reason: getReason(error),
        });
        await this.context.clock.delay(REGISTRATION_RETRY_DELAY_MS);
      }
    }
  }

  #registerServices(): void {
    this.server.addService(Replicas, {
      // Replicas of the fleet are identified by their ids alone: a host that lost
      // its disk gets a new id.
      introduce: () => Promise.resolve({ accepted: false }),
      exchange: (onMessage) =>
        onMessage((batch) =>
          batch.messages.forEach((message) =>
            this.#getMember()?.receive(message)
          )
        ),
    });
    const replyNotLeader = () =>
      Promise.resolve({ code: MessageCode.NOT_LEADER });
    this.server.addService(State, {
      propose: async (req) =>
        await this.#getMember()?.propose(req.commands) ??
          await replyNotLeader(),
      query: replyNotLeader,
      renew: replyNotLeader,
      watch: () => Promise.resolve(),
    });
  }
}

/** Address on which a process listens for the others. */
export function getBindAddress({ bindIp, ip, peerPort }: FleetSettings) {
  return `${bindIp || ip}:${peerPort}`;
}

/** Encodes a command of the fleet group for its log. */
export function encodeFleetCommand(
  command: MessageInitShape<typeof FleetCommandSchema>["command"],
): Uint8Array {
  return toBinary(FleetCommandSchema, create(FleetCommandSchema, { command }));
}
