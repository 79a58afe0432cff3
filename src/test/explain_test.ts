/** Explanations of an id from the log lines of several processes. */
import { expect } from "chai";
import { explain, tryParseLine } from "../cli/explain.ts";

const line = (at: number, process: string, rest: string) =>
  `time=2026-12-04T10:00:0${at}.000Z level=info process=${process} ${rest}`;

const LOGS = [
  line(
    3,
    "gateway-1",
    'event=request_failed request=r1 route=live code=answer_lost verdict=MAY_HAVE_RUN reason="the response ended prematurely" runs=1 after_ms=812',
  ),
  line(2, "gateway-1", "event=backend_server_silent server=s1"),
  line(9, "gateway-2", "event=backend_server_silent server=s1"),
  line(
    2,
    "gateway-1",
    'event=answer_broken request=r1 server=s1 busy=3 slots=8 reason="the response ended prematurely" runs=1',
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
  "not a log line",
];

describe("explain", () => {
  it("explains a response that broke off, with the lines of its server", () => {
    const { lines, cause } = explain(LOGS, "r1");
    expect(lines.map((one) => one.event)).have.members([
      "backend_server_silent",
      "answer_broken",
      "request_failed",
    ]);
    expect(lines.at(-1)?.event).equal("request_failed");
    expect(cause).equal(
      "Gateway gateway-1 failed it after 812 ms with answer_lost " +
        "(MAY_HAVE_RUN): the response ended prematurely. It was sent to s1 " +
        "(answer broken: the response ended prematurely).",
    );
  });

  it("explains a rejection under load that reached no server", () => {
    const { cause } = explain(LOGS, "r2");
    expect(cause).include("no_room (NOT_RUN)");
    expect(cause).include("It was not sent to any server.");
  });

  it("says so if no line identifies the server of a request", () => {
    const left = line(
      4,
      "gateway-1",
      'event=request_failed request=r3 code=caller_left verdict=MAY_HAVE_RUN reason="the caller closed the connection" runs=1 after_ms=900',
    );
    expect(explain([...LOGS, left], "r3").cause)
      .include("It was sent to a server that no line identifies.");
  });

  it("explains an item across several processes", () => {
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

  it("says so if no line mentions the id, and why that may be", () => {
    expect(explain(LOGS, "r9").cause).match(/^Nothing is known of r9/);
    const dropped = line(1, "gateway-1", "event=lines_dropped count=12");
    expect(explain([...LOGS, dropped], "r9").cause).include(
      "12 lines were dropped under load",
    );
    expect(explain([], "r9").cause).include("these files contain no log lines");
  });

  it("parses quoted values and rejects text that is not a log line", () => {
    const parsed = tryParseLine(line(1, "p", 'event=e reason="a \\"b\\" c=d"'));
    expect(parsed?.fields.get("reason")).equal('a "b" c=d');
    expect(tryParseLine("event=e without a time")).equal(undefined);
    expect(tryParseLine("")).equal(undefined);
  });
});
