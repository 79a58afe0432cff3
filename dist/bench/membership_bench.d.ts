import type { StateFigure } from "./state_bench.ts";
/** Runs the measurement at each size. */
export declare function runMembershipBench(onFigure: (figure: StateFigure) => void): Promise<void>;
