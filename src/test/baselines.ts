/**
 * Baseline tests: they compare the transcript of a session with a reference
 * file. `npm run baselines:accept` overwrites the files with the current
 * transcripts; the differences are then read in review.
 */
import { expect } from "chai";
import { mkdir, readFile, writeFile } from "node:fs/promises";
import path from "node:path";
import { sendRequest, streamCompletion } from "../bench/mod.ts";
import type { Clock } from "../sys/clock.ts";

const BASELINE_FOLDER = "baselines";

/** A wall time in milliseconds, as it has been written since 2001. */
const WALL_MS_PATTERN = /\b\d{13}\b/g;

/** Transcript of the requests and answers of a session. */
export class Transcript {
  readonly #startWallMs: number;
  readonly #clock: Clock;
  readonly #lines: string[] = [];

  /** The session runs by `clock`, from the wall time `startWallMs` on. */
  constructor(options: { startWallMs: number; clock: Clock }) {
    this.#startWallMs = options.startWallMs;
    this.#clock = options.clock;
  }

  note(line: string): void {
    this.#lines.push(line);
  }

  /** Sends a request and records the request and the answer. */
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

  /** Sends a streamed completion and records its whole text as one line. */
  async stream(address: string, body: Record<string, unknown>): Promise<void> {
    this.note(`> stream ${JSON.stringify(body)}`);
    const answer = await streamCompletion(address, body);
    const { status, tokens, isDone, text, error } = answer;
    this.note(
      `< ${status} ${tokens} tokens, done ${isDone} ${error}`.trimEnd(),
    );
    this.note(`  ${text}`);
  }

  /**
   * Compares the transcript with its baseline, or overwrites the baseline if
   * PAPAYATALLY_ACCEPT_BASELINES is 1.
   */
  async check(name: string): Promise<void> {
    const file = path.join(BASELINE_FOLDER, `${name}.txt`);
    const text = `${this.#lines.join("\n")}\n`;
    if (process.env.PAPAYATALLY_ACCEPT_BASELINES === "1") {
      await mkdir(BASELINE_FOLDER, { recursive: true });
      await writeFile(file, text);
      return;
    }
    const reference = await readFile(file, "utf8").catch(() => "");
    expect(text, `${file} differs: review the change, then accept it`).equal(
      reference,
    );
  }

  #noteBody(prefix: string, text: string): void {
    this.replaceTimes(text).split("\n")
      .forEach((line) => this.note(`${prefix}   ${line}`));
  }

  /** Replaces wall times since the start of the session by the start. */
  replaceTimes(text: string): string {
    const nowMs = this.#clock.getWallMs();
    return text.replace(WALL_MS_PATTERN, (value) => {
      const wallMs = Number(value);
      const isInSession = wallMs >= this.#startWallMs && wallMs <= nowMs;
      return isInSession ? String(this.#startWallMs) : value;
    });
  }
}
