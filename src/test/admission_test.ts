/**
 * Load pattern: bursts that ask for a tenth more slots than there are, every
 * few seconds, from several gateways whose news of each other is late.
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
  it("predicts the wait from the queue and the measured service time", () => {
    expect(predictQueueMs({ busy: 7, slots: 8, serviceMs: 900 })).equal(0);
    expect(predictQueueMs({ busy: 8, slots: 8, serviceMs: 800 })).equal(100);
    expect(predictQueueMs({ busy: 10, slots: 8, serviceMs: 800 })).equal(300);
  });

  it("holds a request for a fifth of its objective at the most", () => {
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

  it("queues at a quick service, where the wait is short", () => {
    const quick = { slots: 6, serviceMs: 43, targetMs: 193, waitedMs: 40 };
    expect(decideAdmission({ ...quick, busy: 8 }).kind).equal("send");
    expect(decideAdmission({ ...quick, busy: 40 }).kind).equal("refuse");
  });

  it("lets no request be late where every gateway sends to one server", () => {
    // Eight gateways see the same full server as the least busy, at once.
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
