/** A signal to reload that comes while a process starts. */
import { execFile } from "node:child_process";
import { promisify } from "node:util";
import { expect } from "chai";

const EARLY_SIGNALS_URL =
  new URL("../daemons/early_signals.js", import.meta.url).href;

describe("a process that starts", () => {
  it("does not end by a signal to reload", async () => {
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
