/** Known servers by id, by service and by address. */
import { ServerState } from "../schema/mod.ts";
import type { KnownServer } from "./server_registry.ts";

/** Whether a server has left, and is kept only as a tombstone. */
export function isGone({ registration }: KnownServer): boolean {
  return registration.state === ServerState.GONE;
}

/** Servers of one registry, in the order in which they were added. */
export class ServerIndex {
  readonly #servers = new Map<string, KnownServer>();
  readonly #idsByService = new Map<string, Set<string>>();
  readonly #idByAddress = new Map<string, string>();
  /** Ids of servers that have not left; the one heard of last comes last. */
  readonly #presentIds = new Set<string>();
  /** Ids of those that were heard of only once, in the same order. */
  readonly #heardOnceIds = new Set<string>();

  /** Number of servers that have not left. */
  get presentCount(): number {
    return this.#presentIds.size;
  }

  /** Server that has not left and was heard of first. */
  get firstHeard(): KnownServer | undefined {
    return this.#tryGetFirst(this.#presentIds);
  }

  /** Server that has not left, was heard of only once, and that first. */
  get firstHeardOnce(): KnownServer | undefined {
    return this.#tryGetFirst(this.#heardOnceIds);
  }

  tryGet(id: string): KnownServer | undefined {
    return this.#servers.get(id);
  }

  getAll(): KnownServer[] {
    return [...this.#servers.values()];
  }

  getOfService(service: string): KnownServer[] {
    return [...this.#idsByService.get(service) ?? []].flatMap((id) =>
      this.#servers.get(id) ?? []
    );
  }

  countOfService(service: string): number {
    return this.#idsByService.get(service)?.size ?? 0;
  }

  /** The server of a service that was added first. */
  tryGetFirstOfService(service: string): KnownServer | undefined {
    return this.#tryGetFirst(this.#idsByService.get(service) ?? new Set());
  }

  /** The server registered last at an address; undefined if there is none. */
  tryGetAt(address: string): KnownServer | undefined {
    return this.#servers.get(this.#idByAddress.get(address) ?? "");
  }

  /** Adds a server, or replaces what is known under its id. */
  set(known: KnownServer): void {
    const { id, address, service } = known.registration;
    const before = this.#servers.get(id);
    if (before !== undefined) this.#removeKeys(before, service);
    this.#servers.set(id, known);
    if (!isGone(known)) this.recordContact(known);
    if (address !== "") this.#idByAddress.set(address, id);
    const ids = this.#idsByService.get(service) ?? new Set();
    this.#idsByService.set(service, ids.add(id));
  }

  /** Records the newest contact with a server that has not left. */
  recordContact({ registration: { id }, isRepeated }: KnownServer): void {
    this.#presentIds.delete(id);
    this.#presentIds.add(id);
    if (isRepeated) this.#heardOnceIds.delete(id);
    else this.#heardOnceIds.add(id);
  }

  delete(id: string): void {
    const known = this.#servers.get(id);
    if (known === undefined) return;
    this.#servers.delete(id);
    this.#removeKeys(known, undefined);
  }

  #tryGetFirst(ids: ReadonlySet<string>): KnownServer | undefined {
    const [first = ""] = ids;
    return this.#servers.get(first);
  }

  /** The server keeps its place among those of the service `keptService`. */
  #removeKeys(known: KnownServer, keptService: string | undefined): void {
    const { id, address, service } = known.registration;
    this.#presentIds.delete(id);
    this.#heardOnceIds.delete(id);
    if (this.#idByAddress.get(address) === id) {
      this.#idByAddress.delete(address);
    }
    if (service === keptService) return;
    const ids = this.#idsByService.get(service);
    ids?.delete(id);
    if (ids?.size === 0) this.#idsByService.delete(service);
  }
}
