/**
 * Limits that backend servers name in their responses: the requests a second that
 * a server takes from all processes together. A limit holds until a response to a
 * later request names none, or until the server starts again.
 */
import { create } from "@bufbuild/protobuf";
import {
  type ServerLimit,
  ServerLimitSchema,
  ServerStartSchema,
} from "../schema/mod.ts";
import { getAgeMs } from "./ages.ts";
import { getServerStart, type ServerStartKey } from "./server_registry.ts";

interface KnownLimit {
  readonly server: ServerStartKey;
  /** Requests a second; undefined if the server named none any more. */
  readonly limitPerS: number | undefined;
  readonly heardMs: number;
}

/** Maximum number of starts that are kept; those heard first are dropped. */
const MAX_STARTS = 4_096;

/** Relative change of a limit from which on other processes are told. */
const MIN_REPORTED_CHANGE = 0.05;

/** The limits that one process knows. */
export class ServerLimits {
  readonly #known = new Map<string, KnownLimit>();

  /** Limit of a server, in requests a second; undefined if it has none. */
  tryGet(server: ServerStartKey): number | undefined {
    return this.#known.get(getServerStart(server))?.limitPerS;
  }

  /**
   * Records what a response to a request sent at `sentMs` says. Returns whether
   * other processes should be told.
   */
  recordResponse(
    server: ServerStartKey,
    limitPerS: number | undefined,
    { sentMs, nowMs }: { readonly sentMs: number; readonly nowMs: number },
  ): boolean {
    const known = this.#known.get(getServerStart(server));
    const isUnlimited = limitPerS === undefined;
    if (known === undefined && isUnlimited) return false;
    // The response may have been made before the server named its limit.
    if (known !== undefined && isUnlimited && sentMs < known.heardMs) {
      return false;
    }
    this.#set({ server, limitPerS, heardMs: nowMs });
    return hasChanged(known?.limitPerS, limitPerS);
  }

  /**
   * Applies what another process heard; ignored if this process heard something
   * later. Returns whether the limit has changed.
   */
  merge(update: ServerLimit, nowMs: number): boolean {
    const { server, limitPerS, ageMs } = update;
    if (server === undefined) return false;
    const known = this.#known.get(getServerStart(server));
    const heardMs = nowMs - ageMs;
    if (known !== undefined && heardMs <= known.heardMs) return false;
    if (known === undefined && limitPerS === undefined) return false;
    this.#set({ server, limitPerS, heardMs });
    return hasChanged(known?.limitPerS, limitPerS);
  }

  /** What is known of a server, for other processes. */
  getUpdate(server: ServerStartKey, nowMs: number): ServerLimit {
    const known = this.#known.get(getServerStart(server));
    return create(ServerLimitSchema, {
      server: create(ServerStartSchema, {
        id: server.id,
        bornMs: server.bornMs,
      }),
      ...known?.limitPerS === undefined ? {} : { limitPerS: known.limitPerS },
      ageMs: getAgeMs(known?.heardMs ?? nowMs, nowMs),
    });
  }

  /** The limits in force, for a process that knows none. */
  getAll(nowMs: number): ServerLimit[] {
    return [...this.#known.values()]
      .filter(({ limitPerS }) => limitPerS !== undefined)
      .map(({ server }) => this.getUpdate(server, nowMs));
  }

  #set(limit: KnownLimit): void {
    const key = getServerStart(limit.server);
    this.#known.delete(key);
    this.#known.set(key, limit);
    if (this.#known.size <= MAX_STARTS) return;
    const [oldest] = this.#known.keys();
    this.#known.delete(oldest ?? "");
  }
}

function hasChanged(
  before: number | undefined,
  after: number | undefined,
): boolean {
  if (before === undefined || after === undefined) return before !== after;
  return Math.abs(after - before) > before * MIN_REPORTED_CHANGE;
}
