/** Mocha's spec report with the counts alone on the last line. */
import Mocha from "mocha";
/** Reporter that ends with `N passed, N failed`. */
declare class CountingReporter extends Mocha.reporters.Spec {
    constructor(runner: Mocha.Runner, options: Mocha.MochaOptions);
}
export { CountingReporter as default };
