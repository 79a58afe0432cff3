/**
 * Facts about the open items of jobs that scheduling passes need again and again: the
 * key, the route and the parts of the prompt of an item, and until when its next attempt
 * is delayed. After a failed attempt it is, so that the item does not fail again in
 * every pass.
 */
import { getPromptPartKey } from "../membership/mod.ts";
import { type RouteIndex, stripQuery } from "../policy/mod.ts";
import type { JobItem, Route } from "../schema/mod.ts";
import type { QueuedJob } from "../state/mod.ts";
import type { IncomingHttpHeaders } from "../sys/http.ts";
import { getItemKey } from "./run_recorder.ts";

/** Returns the parts of a prompt that a request with these headers shares with others. */
type ReadPrefix = (headers: IncomingHttpHeaders) => readonly string[];

/** What is known of an item. */
interface ItemFacts {
  readonly key: string;
  /** Parts of the prompt that it shares with others. */
  prefix?: readonly string[];
  /** Keys of these parts at the service that was asked for last. */
  parts?: { readonly service: string; readonly keys: readonly string[] };
  /** Route by the table that was asked for last. */
  match?: { readonly routes: RouteIndex; readonly route: Route | undefined };
}

/** Delay before an item is retried after a failed attempt, in milliseconds. */
const RETRY_DELAY_MS = 400;

/** Queue of the items that wait in one process. */
export class ItemQueue {
  readonly #readPrefix: ReadPrefix;
  readonly #facts = new WeakMap<JobItem, ItemFacts>();
  readonly #retryAfterMs = new Map<string, number>();

  /** By default, no item shares parts of its prompt with others. */
  constructor(readPrefix: ReadPrefix = () => []) {
    this.#readPrefix = readPrefix;
  }

  /** Delays the next attempt of an item after a failed one. */
  delayRetry(key: string, nowMs: number): void {
    this.#retryAfterMs.set(key, nowMs + RETRY_DELAY_MS);
  }

  /** Whether the next attempt of an item is not delayed any more. */
  mayRetry(key: string, nowMs: number): boolean {
    return (this.#retryAfterMs.get(key) ?? 0) <= nowMs;
  }

  /** Drops the delays of all items except the given ones. */
  retainOnly(open: ReadonlySet<string>): void {
    [...this.#retryAfterMs.keys()].filter((key) => !open.has(key))
      .forEach((key) => this.#retryAfterMs.delete(key));
  }

  /** Key of an item, unique across all jobs. */
  getKey({ job }: QueuedJob, item: JobItem): string {
    return this.#getFacts(job.id, item).key;
  }

  /** Route of an item; undefined if there is none. */
  tryGetRoute(
    { job }: QueuedJob,
    item: JobItem,
    routes: RouteIndex,
  ): Route | undefined {
    const facts = this.#getFacts(job.id, item);
    if (facts.match?.routes !== routes) {
      const route = routes.tryMatch(job.host, stripQuery(item.path));
      facts.match = { routes, route };
    }
    return facts.match?.route;
  }

  /** Parts of an item's prompt that it shares with others. */
  getPrefix({ job }: QueuedJob, item: JobItem): readonly string[] {
    const facts = this.#getFacts(job.id, item);
    facts.prefix ??= this.#readPrefix(Object.fromEntries(
      item.headers.map(({ name, value }) => [name.toLowerCase(), value]),
    ));
    return facts.prefix;
  }

  /** Keys of these parts at a service. */
  getPromptParts(
    queued: QueuedJob,
    item: JobItem,
    service: string,
  ): readonly string[] {
    const facts = this.#getFacts(queued.job.id, item);
    if (facts.parts?.service !== service) {
      const keys = this.getPrefix(queued, item)
        .map((part) => getPromptPartKey(service, part));
      facts.parts = { service, keys };
    }
    return facts.parts?.keys ?? [];
  }

  #getFacts(job: string, item: JobItem): ItemFacts {
    const known = this.#facts.get(item);
    if (known !== undefined) return known;
    const facts = { key: getItemKey(job, item.id) };
    this.#facts.set(item, facts);
    return facts;
  }
}
