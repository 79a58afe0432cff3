/** Guards against a SIGHUP during startup terminating the process. */
import { execFile } from "node:child_process";
import { promisify } from "node:util";
import { expect } from "chai";

const EARLY_SIGNALS_URL =
  new URL("../daemons/early_signals.js", import.meta.url).href;

describe("a starting process", () => {
  it("survives SIGHUP", async () => {
    const script = `await import(${JSON.stringify(EARLY_SIGNALS_URL)});` +
      `process.kill(process.pid, "SIGHUP");` +
      `setTimeout(() => console.log("alive"), 50);`;
    const { stdout } = await promisify(execFile)(process.execPath, [
      "--input-type=module",
      "--eval",
      script,
    ]);
    expect(stdout.trim()).equal("alive");
  });
});
