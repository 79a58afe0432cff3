/** Waits of tests for what processes of their own bring about. */
import { setTimeout as delay } from "node:timers/promises";

const POLL_INTERVAL_MS = 50;

/** Polls before a wait times out, after two minutes. */
const MAX_POLLS = 2_400;

/** Polls until a condition holds; fails after two minutes. */
export async function pollUntil(
  description: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  for (let poll = 0; poll < MAX_POLLS; poll += 1) {
    if (await condition()) return;
    await delay(POLL_INTERVAL_MS);
  }
  throw new Error(`timed out waiting for ${description}`);
}
