/** Mocha's spec report with the counts alone on the last line. */
import Mocha from "mocha";
/** Reporter that ends with `N passed, N failed`. */
class CountingReporter extends Mocha.reporters.Spec {
    constructor(runner, options) {
        super(runner, options);
        runner.once("end", () => {
            const { passes, failures } = this.stats;
            process.on("exit", () => process.stdout.write(`${passes} passed, ${failures} failed\n`));
        });
    }
}
export { CountingReporter as default };
//# sourceMappingURL=counting_reporter.js.map