/**
 * Admission under bursts that exceed the slots by a tenth every few seconds.
 * Several gateways decide at once with delayed load reports of each other, and
 * must not queue requests for longer than their latency objective.
 */
import { expect } from "chai";
import {
  decideAdmission,
  jitterRetryAfter,
  predictQueueMs,
} from "../policy/mod.ts";

const TARGET_MS = 300;
const ENGINE = { slots: 8, serviceMs: 900, targetMs: TARGET_MS };

describe("admission", () => {
  it("predicts the delay from the queue and the measured service time", () => {
    expect(predictQueueMs({ busy: 7, slots: 8, serviceMs: 900 })).equal(0);
    expect(predictQueueMs({ busy: 8, slots: 8, serviceMs: 800 })).equal(100);
    expect(predictQueueMs({ busy: 10, slots: 8, serviceMs: 800 })).equal(300);
  });

  it("holds a request for at most a fifth of its objective", () => {
    const first = decideAdmission({ ...ENGINE, busy: 8, waitedMs: 0 });
    expect(first).deep.equal({ kind: "wait", ms: TARGET_MS / 5 });
    const later = decideAdmission({ ...ENGINE, busy: 8, waitedMs: 61 });
    expect(later.kind).equal("refuse");
  });

  it("tells a refused caller when a slot is expected", () => {
    const decision = decideAdmission({ ...ENGINE, busy: 9, waitedMs: 61 });
    expect(decision).deep.equal({ kind: "refuse", retryAfterMs: 225 });
    expect(jitterRetryAfter(200, 0)).equal(150);
    expect(jitterRetryAfter(200, 1)).equal(250);
  });

  it("queues at a fast service, where the delay is short", () => {
    const quick = { slots: 6, serviceMs: 43, targetMs: 193, waitedMs: 40 };
    expect(decideAdmission({ ...quick, busy: 8 }).kind).equal("send");
    expect(decideAdmission({ ...quick, busy: 40 }).kind).equal("refuse");
  });

  it("makes no request late if all gateways choose the same server", () => {
    // Eight gateways simultaneously see one full server as the least loaded.
    let busy = 8;
    const late = Array.from({ length: 8 }, () => {
      const decision = decideAdmission({ ...ENGINE, busy: 8, waitedMs: 61 });
      if (decision.kind !== "send") return false;
      const queueMs = predictQueueMs({ ...ENGINE, busy });
      busy += 1;
      return queueMs >= TARGET_MS;
    });
    expect(late.filter((one) => one)).length(0);
  });
});
