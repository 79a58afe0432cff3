/** Settings files of the examples, the embedded library and generated pages. */
import { expect } from "chai";
import { readdir, readFile } from "node:fs/promises";
import path from "node:path";
import { runPolicyAlone } from "papayatally/examples/policy_alone";
import { runReplicatedLog } from "papayatally/examples/replicated_log";
import { createMessagesPage, createSettingsPage } from "../cli/schema_pages.ts";
import { readSettings } from "../daemons/settings_file.ts";
import {
  EntrySettingsSchema,
  MessageCode,
  ScenarioSchema,
  StateSettingsSchema,
} from "../schema/mod.ts";
import { parseSettings } from "../sys/settings.ts";

describe("examples", () => {
  it("have valid settings files", async () => {
    for (const folder of ["one-host", "utility", "cartabaza", "bench"]) {
      const files = await readdir(path.join("examples", folder));
      files.filter((name) => name.endsWith(".toml")).forEach((name) => {
        const schema = folder === "bench"
          ? ScenarioSchema
          : name.startsWith("entry")
          ? EntrySettingsSchema
          : StateSettingsSchema;
        readSettings(schema, path.join("examples", folder, name));
      });
    }
  });

  it("embed the replicated log", async () => {
    const words = ["lease", "quorum", "heartbeat"];
    expect(await runReplicatedLog()).deep.equal([words, words, words]);
  });

  it("embed the policy", () => {
    expect(runPolicyAlone()).deep.equal({ server: "idle", batchCapacity: 12 });
  });
});

describe("generated pages", () => {
  it("match the schema", async () => {
    expect(await readFile("docs/SETTINGS.md", "utf8"))
      .equal(createSettingsPage());
    expect(await readFile("docs/MESSAGES.md", "utf8"))
      .equal(createMessagesPage());
  });
});

describe("settings", () => {
  it("report every error with its line and stable code", () => {
    const result = parseSettings(
      EntrySettingsSchema,
      [
        'id = "e"',
        "item_groups = 999",
        "listen = 7",
        'colour = "red"',
        "[limits]",
        "body_bytes = 1",
      ].join("\n"),
    );
    if (result.ok) throw new Error("no errors found");
    const faults = result.faults.map(({ code, text }) => [code, text]);
    const { SETTINGS_UNKNOWN_KEY, SETTINGS_MISSING_KEY } = MessageCode;
    const { SETTINGS_WRONG_TYPE, SETTINGS_OUT_OF_RANGE } = MessageCode;
    expect(faults).deep.equal([
      [SETTINGS_UNKNOWN_KEY, "PT1003 line 4: unknown key colour"],
      [SETTINGS_MISSING_KEY, "PT1006 data_centre is required"],
      [SETTINGS_WRONG_TYPE, "PT1004 line 3: listen must be a string"],
      [
        SETTINGS_OUT_OF_RANGE,
        "PT1005 line 2: item_groups must be from 1 to 64, but is 999",
      ],
      [
        SETTINGS_OUT_OF_RANGE,
        "PT1005 line 6: limits.body_bytes must be from 1024 to 268435456, " +
        "but is 1",
      ],
    ]);
  });
});
