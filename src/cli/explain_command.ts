/** The command that explains a request from its id. */
import { readFileSync } from "node:fs";
import type { Command } from "commander";
import { explain } from "./explain.ts";
import type { Output } from "./output.ts";

/** File number of standard input. */
const STDIN_FD = 0;

/** Adds `explain`. */
export function addExplainCommand(
  program: Command,
  getOutput: () => Output,
): void {
  program.command("explain")
    .description("Say from logs what became of a request, job or item.")
    .argument("<id>", "id of a request, job, item, server or host")
    .argument("[logs...]", "log files of any processes; standard input without")
    .action((id: string, files: string[]) => {
      const sources = files.length > 0 ? files : [STDIN_FD];
      const texts = sources.flatMap((source) =>
        readFileSync(source, "utf8").split("\n")
      );
      const { lines, cause } = explain(texts, id);
      const lineTexts = lines.map((line) => line.text);
      getOutput().print([...lineTexts, cause].join("\n"), {
        id,
        lines: lineTexts,
        cause,
      });
    });
}
