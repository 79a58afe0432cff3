/**
 * Baselines: whole sessions as reference files. A changed one is accepted by
 * `npm run baselines:accept` and read in review.
 */
import { expect } from "chai";
import { mkdir, readFile, writeFile } from "node:fs/promises";
import path from "node:path";
import { sendRequest, streamCompletion } from "../bench/mod.ts";

const BASELINE_FOLDER = "baselines";

/** What was said in a session. */
export class Transcript {
  readonly #lines: string[] = [];

  note(line: string): void {
    this.#lines.push(line);
  }

  /** Sends a request and notes both sides. */
  async call(
    address: string,
    route: string,
    body: unknown,
    headers: Record<string, string> = {},
  ): Promise<Record<string, unknown>> {
    const method = body === undefined ? "GET" : "POST";
    const text = typeof body === "string" ? body : JSON.stringify(body ?? "");
    const headerLines = Object.entries(headers).map(([name, value]) =>
      `${name}: ${value}`
    );
    this.note(`> ${method} ${route} ${headerLines.join(", ")}`.trimEnd());
    if (body !== undefined) this.#noteBody(">", text);
    const answer = await sendRequest(address, route, body, { headers });
    this.note(`< ${answer.status} ${answer.headers["content-type"]}`);
    this.#noteBody("<", answer.text.trimEnd());
    try {
      return JSON.parse(answer.text);
    } catch {
      return {};
    }
  }

  /** Sends a completion and notes its stream as one line. */
  async stream(address: string, body: Record<string, unknown>): Promise<void> {
    this.note(`> stream ${JSON.stringify(body)}`);
    const answer = await streamCompletion(address, body);
    const { status, tokens, isDone, text, error } = answer;
    this.note(
      `< ${status} ${tokens} tokens, done ${isDone} ${error}`.trimEnd(),
    );
    this.note(`  ${text}`);
  }

  /** Compares the session with its reference file, or accepts it. */
  async check(name: string): Promise<void> {
    const file = path.join(BASELINE_FOLDER, `${name}.txt`);
    const text = `${this.#lines.join("\n")}\n`;
    if (process.env.PAPAYATALLY_ACCEPT_BASELINES === "1") {
      await mkdir(BASELINE_FOLDER, { recursive: true });
      await writeFile(file, text);
      return;
    }
    const reference = await readFile(file, "utf8").catch(() => "");
    expect(text, `${file}: read the change, then accept it`).equal(reference);
  }

  #noteBody(prefix: string, text: string): void {
    text.split("\n").forEach((line) => this.note(`${prefix}   ${line}`));
  }
}
