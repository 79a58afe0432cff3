/**
 * Settings files that are read while another program writes them. Guards against
 * a process that does not start, or goes by half of its settings.
 */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { expect } from "chai";
import { SettingsFile } from "../daemons/settings_file.ts";
import { findMissingKeys } from "../fleet/mod.ts";
import { FleetSettingsSchema, MessageCode } from "../schema/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { ServingError } from "../sys/errors.ts";
import { SETTINGS, startDaemon, type TestDaemon } from "./daemon_process.ts";
import { HostProcesses } from "./platform_process.ts";

const HOST = `{
  start: () => Promise.resolve({ seeds: settings.seeds.join() }),
  stop: () => Promise.resolve(),
  reload: ({ seeds }) => context.log.info("reload", { seeds: seeds.join() }),
}`;

/** Texts that a reader may find in place of `SETTINGS`. */
const PARTS = {
  "an empty file": "\n",
  "a file without its second half": SETTINGS.slice(0, SETTINGS.length / 2),
  "a file without its last line": SETTINGS.trimEnd().split("\n").slice(0, -1)
    .join("\n"),
  "a file that ends within a value": SETTINGS.trimEnd().slice(0, -3),
};

describe("a settings file", () => {
  let folder = "";
  let daemon: TestDaemon | undefined;
  const hosts = new HostProcesses();

  beforeEach(async () => {
    folder = await mkdtemp(path.join(tmpdir(), "papayatally-settings-"));
    await hosts.open();
  });

  afterEach(async () => {
    await daemon?.close();
    await hosts.close();
    await rm(folder, { recursive: true, force: true });
  });

  // Guards against exit code 3 of a start that reads the file too early.
  it("that is missing at the start is waited for", async () => {
    daemon = await startDaemon(HOST, { settings: "" });
    await daemon.process.waitFor(/waiting for the settings/);
    await writeFile(daemon.settingsPath, SETTINGS);
    await daemon.process.waitFor(/event=ready seeds=127.0.0.1:4/);
  });

  for (const [name, text] of Object.entries(PARTS)) {
    // Guards against exit code 3, and against a host that starts without the
    // settings of the last lines, such as its data folder.
    it(`is waited for at the start if it is ${name}`, async () => {
      daemon = await startDaemon(HOST, { settings: text });
      await daemon.process.waitFor(/waiting for the settings/);
      expect(daemon.process.output).not.match(/event=ready/);
      await writeFile(daemon.settingsPath, SETTINGS);
      await daemon.process.waitFor(/event=ready seeds=127.0.0.1:4/);
    });
  }

  // Guards against a process that waits for ever for a file with an error.
  it("that stays invalid is refused in the end", async () => {
    const file = path.join(folder, "settings");
    await writeFile(file, "odd");
    const clock = new ManualClock();
    const settingsFile = new SettingsFile({
      schema: FleetSettingsSchema,
      path: file,
      findMissingKeys,
      clock,
    });
    let waits = 0;
    let error: unknown;
    settingsFile.readAtStart(() => waits += 1).catch((thrown) => {
      error = thrown;
    });
    for (let ms = 0; error === undefined; ms += 100) {
      expect(ms).lessThan(20_000);
      await new Promise((resolve) => setImmediate(resolve));
      clock.advance(100);
    }
    expect((error as ServingError).code).equal(MessageCode.SETTINGS_SYNTAX);
    expect(waits).equal(1);
  });

  // Guards against a reload that applies a list of seeds that is not whole, or
  // none, and then misses the whole one.
  it("that is half written at a reload changes nothing", async () => {
    daemon = await startDaemon(HOST);
    await daemon.process.waitFor(/event=ready/);
    const changed = SETTINGS.replace("127.0.0.1:4", "127.0.0.1:5");
    for (const text of Object.values(PARTS)) {
      const before = daemon.process.output.length;
      await writeFile(daemon.settingsPath, text.replace(":4", ":9"));
      daemon.process.kill("SIGHUP");
      await daemon.process.waitFor(
        new RegExp(`^[^]{${before}}[^]*event=settings_not_reloaded`),
      );
    }
    await writeFile(daemon.settingsPath, changed);
    daemon.process.kill("SIGHUP");
    await daemon.process.waitFor(/event=settings_reloaded/);
    expect(daemon.process.output.match(/event=reload .*/g)).eql([
      "event=reload seeds=127.0.0.1:5",
    ]);
  });

  // Guards against a host that forgets its seeds.
  it("without seeds is not applied by a running host", async () => {
    const settings = await hosts.createSettings("gateway");
    const running = hosts.start(settings);
    await running.waitFor(/event=ready/);
    await writeFile(
      settings.file,
      settings.text.replace(/seeds = .*/, "seeds = []"),
    );
    running.kill("SIGHUP");
    await running.waitFor(
      /event=settings_not_reloaded .*seeds is required/,
    );
  });
});
