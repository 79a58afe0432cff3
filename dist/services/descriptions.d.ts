/** Jobs, items and keyed requests as callers and operators read them. */
import { type Item, type Job, type KeyedRequest } from "../schema/mod.ts";
/** A job as callers see it. */
export declare function describeJob(job: Job): Record<string, unknown>;
/** An item with its outcome as callers see it. */
export declare function describeItem(item: Item, index: number): Record<string, unknown>;
/** A keyed request with its outcome as operators read it. */
export declare function describeRequest(request: KeyedRequest): Record<string, unknown>;
