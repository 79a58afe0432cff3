/** Lines of a log under load, and while nobody reads them. */
import { expect } from "chai";
import { ManualClock } from "../sys/clock.ts";
import { ByteSink, LineWriter } from "../sys/line_writer.ts";

/** Takes one write at a time and ends it when told to. */
class ManualSink extends ByteSink {
  readonly texts: string[] = [];
  #done: ((error?: unknown) => void) | undefined;

  override write(bytes: Buffer, done: (error?: unknown) => void): void {
    expect(this.#done, "one write at a time").equal(undefined);
    this.texts.push(bytes.toString());
    this.#done = done;
  }

  override writeSync(bytes: Buffer): void {
    this.texts.push(bytes.toString());
  }

  completeWrite(error?: unknown): void {
    const done = this.#done;
    this.#done = undefined;
    done?.(error);
  }

  get lines(): string[] {
    return this.texts.join("").split("\n").filter((line) => line !== "");
  }
}

const nextTurn = () => new Promise<void>((resolve) => setImmediate(resolve));

function createWriter(options: { linesPerS: number; maxPendingBytes: number }) {
  const sink = new ManualSink();
  const clock = new ManualClock();
  const writer = new LineWriter({
    sink,
    clock,
    formatDroppedLine: (count) => `dropped ${count}`,
    ...options,
  });
  return { sink, clock, writer };
}

describe("line writer", () => {
  it("writes the lines of one turn at once, in order", async () => {
    const { sink, writer } = createWriter({
      linesPerS: 100,
      maxPendingBytes: 1_000,
    });
    writer.write("a", 0);
    writer.write("b", 0);
    await nextTurn();
    writer.write("c", 0);
    await nextTurn();
    expect(sink.texts).deep.equal(["a\nb\n"]);
    sink.completeWrite();
    expect(sink.texts).deep.equal(["a\nb\n", "c\n"]);
  });

  it("drops lines of no failure first when too many come, and says so", async () => {
    const { sink, clock, writer } = createWriter({
      linesPerS: 10,
      maxPendingBytes: 1e6,
    });
    for (let count = 0; count < 100; count += 1) writer.write("plain", 0);
    for (let count = 0; count < 20; count += 1) writer.write("failure", 1);
    clock.advance(5_000);
    writer.write("later", 0);
    await nextTurn();
    const count = (text: string) =>
      sink.lines.filter((line) => line === text).length;
    expect(count("plain")).equal(30);
    expect(count("failure")).equal(20);
    expect(count("dropped 70")).equal(1);
    expect(sink.lines.at(-1)).equal("later");
  });

  it("holds a bounded number of bytes while nobody reads", async () => {
    const { sink, writer } = createWriter({
      linesPerS: 1e6,
      maxPendingBytes: 1_000,
    });
    const line = "x".repeat(100);
    writer.write(line, 0);
    await nextTurn();
    for (let count = 0; count < 100; count += 1) writer.write(line, 0);
    for (let count = 0; count < 100; count += 1) writer.write(line, 1);
    sink.completeWrite();
    writer.flushSync();
    const kept = sink.lines.filter((one) => one === line).length;
    // The first one was being written when the others came.
    expect(kept).within(1 + 19, 1 + 20);
    const dropped = sink.lines.filter((one) => one.startsWith("dropped "))
      .reduce((sum, one) => sum + Number(one.slice("dropped ".length)), 0);
    expect(dropped).equal(201 - kept);
  });

  it("goes on when the reader has gone", async () => {
    const { sink, writer } = createWriter({
      linesPerS: 100,
      maxPendingBytes: 1_000,
    });
    writer.write("a", 0);
    await nextTurn();
    sink.completeWrite(new Error("broken pipe"));
    writer.write("b", 1);
    writer.flushSync();
    expect(sink.lines).deep.equal(["a", "dropped 1", "b"]);
  });
});
