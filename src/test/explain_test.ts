/** What became of an id, told from the lines of several processes. */
import { expect } from "chai";
import { explain, tryParseLine } from "../cli/explain.ts";

const line = (at: number, process: string, rest: string) =>
  `time=2026-12-04T10:00:0${at}.000Z level=info process=${process} ${rest}`;

const LOGS = [
  line(
    3,
    "gateway-1",
    'event=request_failed request=r1 route=live code=answer_lost verdict=MAY_HAVE_RUN reason="the answer was cut short" runs=1 after_ms=812',
  ),
  line(2, "gateway-1", "event=backend_server_silent server=s1"),
  line(9, "gateway-2", "event=backend_server_silent server=s1"),
  line(
    2,
    "gateway-1",
    'event=answer_broken request=r1 server=s1 busy=3 slots=8 reason="the answer was cut short" runs=1',
  ),
  line(
    1,
    "gateway-2",
    'event=request_failed request=r2 code=no_room verdict=NOT_RUN reason="8 requests, 0 of jobs, on 8 slots" runs=0 after_ms=61',
  ),
  line(1, "gateway-1", "event=job_accepted job=j1 route=jobs items=2"),
  line(
    4,
    "store-1",
    'event=item_attempt_ended job=j1 item=j1-a server=s1 ending=broken reason="reset" event=-1',
  ),
  line(5, "store-2", 'event=item_given_up job=j1 item=j1-a reason="too late"'),
  "not one of ours",
];

describe("explain", () => {
  it("tells how a request was broken midway, with its server's lines", () => {
    const { lines, cause } = explain(LOGS, "r1");
    expect(lines.map((one) => one.event)).have.members([
      "backend_server_silent",
      "answer_broken",
      "request_failed",
    ]);
    expect(lines.at(-1)?.event).equal("request_failed");
    expect(cause).equal(
      "Gateway gateway-1 gave it up after 812 ms with answer_lost " +
        "(MAY_HAVE_RUN): the answer was cut short. It was sent to s1 " +
        "(answer broken: the answer was cut short).",
    );
  });

  it("tells a refusal under load, and that nothing had run", () => {
    const { cause } = explain(LOGS, "r2");
    expect(cause).include("no_room (NOT_RUN)");
    expect(cause).include("It reached no server.");
  });

  it("owns that a server had it when no line names one", () => {
    const left = line(
      4,
      "gateway-1",
      'event=request_failed request=r3 code=caller_left verdict=MAY_HAVE_RUN reason="the caller closed the connection" runs=1 after_ms=900',
    );
    expect(explain([...LOGS, left], "r3").cause)
      .include("A server had it; no line tells which.");
  });

  it("tells an item's way through several processes", () => {
    const { lines, cause } = explain([...LOGS].reverse(), "j1-a");
    expect(lines.map((one) => one.process)).deep.equal([
      "gateway-1",
      "store-1",
      "store-2",
    ]);
    expect(cause).equal(
      "Item j1-a of job j1 became a dead letter at store-2: too late.",
    );
  });

  it("owns that it doesn't know, and why it may not", () => {
    expect(explain(LOGS, "r9").cause).match(/^Nothing is known of r9/);
    const dropped = line(1, "gateway-1", "event=lines_dropped count=12");
    expect(explain([...LOGS, dropped], "r9").cause).include("12 lines were");
    expect(explain([], "r9").cause).include("no line of these files");
  });

  it("reads quoted values, and nothing that is no line", () => {
    const parsed = tryParseLine(line(1, "p", 'event=e reason="a \\"b\\" c=d"'));
    expect(parsed?.fields.get("reason")).equal('a "b" c=d');
    expect(tryParseLine("event=e without a time")).equal(undefined);
    expect(tryParseLine("")).equal(undefined);
  });
});
