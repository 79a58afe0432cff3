/** What the state bench found, one line for each measurement. */
export interface StateFigure {
    readonly name: string;
    readonly value: number;
    readonly unit: string;
}
/** Runs all measurements. */
export declare function runStateBench(onFigure: (figure: StateFigure) => void): Promise<void>;
