/**
 * Asks for permission to send requests to servers that have named a limit. A
 * store host, the same for all processes, grants it for each server. While no
 * store host replies, each process takes an equal part of the limit.
 */
import { type MessageInitShape } from "@bufbuild/protobuf";
import { type ServerLimits, type ServerStartKey } from "../membership/mod.ts";
import { type PaceRequest } from "../policy/mod.ts";
import {
  type AcquireSendReply,
  type AcquireSendRequestSchema,
} from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import type { Log } from "../sys/log.ts";
import { type Metrics } from "../sys/metrics.ts";
import { type Random } from "../sys/random.ts";
import { type RpcCredentials } from "../sys/rpc.ts";
/** Calls the store hosts that grant permissions. */
export declare abstract class GranterCaller {
  /** Fails if no reply arrives within `timeoutMs`. */
  abstract acquire(
    address: string,
    req: MessageInitShape<typeof AcquireSendRequestSchema>,
    timeoutMs: number,
  ): Promise<Pick<AcquireSendReply, "granted" | "waitMs" | "senders">>;
  abstract close(): void;
}
/** Calls store hosts over the network. */
export declare class RpcGranterCaller extends GranterCaller {
  #private;
  constructor(credentials: RpcCredentials);
  acquire(
    address: string,
    req: MessageInitShape<typeof AcquireSendRequestSchema>,
    timeoutMs: number,
  ): Promise<AcquireSendReply>;
  close(): void;
}
/** Options of a {@linkcode RateLimitClient}. */
export interface RateLimitClientOptions {
  readonly name: string;
  readonly limits: ServerLimits;
  /** Returns the addresses of the store hosts that grant permissions. */
  readonly getGranters: () => readonly string[];
  readonly caller: GranterCaller;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
}
/** Asks for and keeps the permissions of one process. */
export declare class RateLimitClient {
  #private;
  constructor(options: RateLimitClientOptions);
  close(): void;
  isLimited(server: ServerStartKey): boolean;
  /** Whether asking for permission may succeed, by the last refusal. */
  mayAsk(server: ServerStartKey, isBatch: boolean): boolean;
  /** Time until asking for permission may succeed, in milliseconds. */
  getRefusedMs(server: ServerStartKey, isBatch: boolean): number;
  /**
   * Asks for permission to send one request. If it is granted, resolves when the
   * request may be sent; otherwise resolves with false.
   */
  acquire(server: ServerStartKey, req: PaceRequest): Promise<boolean>;
  /** Whether a permission that was asked for in advance may be used. */
  hasPrefetched(server: ServerStartKey): boolean;
  /** Uses up the permission that was asked for in advance. */
  takePrefetched(server: ServerStartKey): void;
  /**
   * Asks for permission for a request of a job in advance. Calls `onGrant` once it
   * is granted.
   */
  prefetchBatch(server: ServerStartKey, onGrant: () => void): void;
}
