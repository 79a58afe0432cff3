import type { Output } from "./output.ts";
/** Runs the demo; throws when a step did not show what it should. */
export declare function runDemo(output: Output): Promise<void>;
