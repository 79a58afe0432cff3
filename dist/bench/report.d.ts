/** The bench's report: a table for people and a plot as SVG. */
import { type ModeResult } from "./scenario_run.ts";
/** The heading of the table. */
export declare function formatHeading(): string;
/** One mode as a line of the table. */
export declare function formatResult(result: ModeResult): string;
/** Tail of the first token against batch throughput, a dot for each mode. */
export declare function createPlot(name: string, results: readonly ModeResult[]): string;
