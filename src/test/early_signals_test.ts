/** Signals that arrive while a process starts or stops. */
import { execFile } from "node:child_process";
import { readFile } from "node:fs/promises";
import { promisify } from "node:util";
import { expect } from "chai";
import { startDaemon, type TestDaemon } from "./daemon_process.ts";

const EARLY_SIGNALS_URL =
  new URL("../daemons/early_signals.js", import.meta.url).href;

const MAIN_PROGRAMS = [
  "../../platform/main.js",
  "../daemons/entry_main.js",
  "../daemons/state_main.js",
];

async function runWithEarlySignal(signal: string): Promise<string> {
  const script = `await import(${JSON.stringify(EARLY_SIGNALS_URL)});` +
    `process.kill(process.pid, "${signal}");` +
    `setTimeout(() => console.log("alive"), 50);`;
  const { stdout } = await promisify(execFile)(process.execPath, [
    "--input-type=module",
    "--eval",
    script,
  ]);
  return stdout.trim();
}

describe("a starting process", () => {
  // Guards against a SIGHUP during startup terminating the process.
  it("survives SIGHUP", async () => {
    expect(await runWithEarlySignal("SIGHUP")).equal("alive");
  });

  // Guards against a stop during startup ending the process by the signal.
  it("ends with 0 at SIGTERM and SIGINT", async () => {
    expect(await runWithEarlySignal("SIGTERM")).equal("");
    expect(await runWithEarlySignal("SIGINT")).equal("");
  });

  // Guards against a main program whose other modules are loaded before signals
  // have handlers: the runtime loads all static imports before it runs the first.
  it("handles signals before it loads its modules", async () => {
    for (const program of MAIN_PROGRAMS) {
      const text = await readFile(new URL(program, import.meta.url), "utf8");
      const imports = text.match(/^(import|export) .*$/gm) ?? [];
      expect(imports.length, program).equal(1);
      expect(imports[0]).match(/early_signals\.js"/);
    }
  });
});

describe("a stop", () => {
  let daemon: TestDaemon | undefined;

  afterEach(async () => {
    await daemon?.close();
  });

  // Guards against a host that is stopped while half of it has started: that
  // fails on parts that are not there, and the start fails on closed ones.
  it("during the start ends the process at once", async () => {
    daemon = await startDaemon(`{
      start: () => {
        context.log.info("starting");
        return new Promise(() => {});
      },
      stop: () => Promise.reject(new Error("half started")),
    }`);
    await daemon.process.waitFor(/event=starting/);
    daemon.process.kill("SIGTERM");
    expect(await daemon.process.ended).eql({ code: 0, signal: null });
  });

  // Guards against a process that stays for ever, as when its disk hangs.
  it("that hangs is given up", async () => {
    daemon = await startDaemon(`{
      start: () => Promise.resolve({}),
      stop: () => new Promise(() => {}),
      stopLimitMs: 200,
    }`);
    await daemon.process.waitFor(/event=ready/);
    daemon.process.kill("SIGTERM");
    expect(await daemon.process.ended).eql({ code: 1, signal: null });
    expect(daemon.process.output).match(/event=stop_given_up after_ms=200/);
  });

  // Guards against a second signal cutting off what the first lets end.
  it("goes on at a second signal", async () => {
    daemon = await startDaemon(`{
      start: () => Promise.resolve({}),
      stop: () => new Promise((resolve) => {
        context.log.info("stopping");
        setTimeout(resolve, 300);
      }),
    }`);
    await daemon.process.waitFor(/event=ready/);
    daemon.process.kill("SIGTERM");
    await daemon.process.waitFor(/event=stopping/);
    daemon.process.kill("SIGTERM");
    daemon.process.kill("SIGINT");
    expect(await daemon.process.ended).eql({ code: 0, signal: null });
  });

  // Guards against a stop that fails without a line that says why.
  it("that fails says why", async () => {
    daemon = await startDaemon(`{
      start: () => Promise.resolve({}),
      stop: () => Promise.reject(new Error("odd disk")),
    }`);
    await daemon.process.waitFor(/event=ready/);
    daemon.process.kill("SIGTERM");
    expect(await daemon.process.ended).eql({ code: 1, signal: null });
    expect(daemon.process.output).match(/event=stop_failed .*odd disk/);
  });
});
