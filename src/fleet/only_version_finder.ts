/**
 * Finds out for a gateway whether the servers of a service can have begun a stream
 * with one software version only. What the gateway knows itself doesn't tell: it may
 * have been cut off from a control host, or have stood still, while servers of
 * another version joined and left. Control hosts don't share registrations, so each
 * registered one has to say which versions registered there.
 *
 * The server that began a stream had registered before the caller took the stream up,
 * and the hosts are asked after that, so no reply can be too old.
 */
import {
  type FindSoftwareVersionsReply,
  Fleet,
  type HostList,
  HostRole,
} from "../schema/mod.ts";
import { getReason } from "../sys/errors.ts";
import type { Log } from "../sys/log.ts";
import { RpcClientPool, type RpcCredentials } from "../sys/rpc.ts";

/** Asks one control host for the versions of a service's servers. */
export type SoftwareVersionsQuery = (
  address: string,
  service: string,
) => Promise<Omit<FindSoftwareVersionsReply, "$typeName">>;

/** Options of an {@linkcode OnlyVersionFinder}. */
export interface OnlyVersionFinderOptions {
  /** Returns the hosts that this gateway knows. */
  readonly getHosts: () => HostList;
  readonly query: SoftwareVersionsQuery;
  readonly log: Log;
}

/** Timeout of a call to a control host, in milliseconds. */
const CALL_TIMEOUT_MS = 200;

/** Finds the only versions of services for one gateway. */
export class OnlyVersionFinder {
  readonly #options: OnlyVersionFinderOptions;

  constructor(options: OnlyVersionFinderOptions) {
    this.#options = options;
  }

  /**
   * Returns the only version with which servers of a service can have begun a stream
   * that is taken up now; undefined if there are several or if it can't be excluded.
   */
  async find(service: string): Promise<string | undefined> {
    const { version, hosts } = this.#options.getHosts();
    const addresses = hosts.filter(({ role }) => role === HostRole.CONTROL)
      .map(({ address }) => address);
    try {
      const replies = await Promise.all(
        addresses.map((address) => this.#ask(address, service, version)),
      );
      const versions = new Set(replies.flat());
      const [only] = versions;
      return versions.size === 1 ? only : undefined;
    } catch (error) {
      this.#options.log.info("only_version_unknown", {
        service,
        reason: getReason(error),
      });
      return undefined;
    }
  }

  /** Throws if the host may have missed a version, or knows further hosts. */
  async #ask(
    address: string,
    service: string,
    hostsVersion: bigint,
  ): Promise<string[]> {
    const reply = await this.#options.query(address, service);
    if (!reply.complete) {
      throw new Error(`control host ${address} has started recently`);
    }
    if (reply.hostsVersion > hostsVersion) {
      throw new Error(`control host ${address} knows a newer list of hosts`);
    }
    return reply.versions;
  }
}

/** Asks control hosts by remote calls. */
export class RpcSoftwareVersionsClient {
  readonly #clients: RpcClientPool;

  constructor(credentials: RpcCredentials) {
    this.#clients = new RpcClientPool(credentials);
  }

  /** Throws if the host does not reply in time. */
  query(address: string, service: string): Promise<FindSoftwareVersionsReply> {
    return this.#clients.get(address).call(
      Fleet.method.findSoftwareVersions,
      { service },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
  }

  close(): void {
    this.#clients.close();
  }
}
