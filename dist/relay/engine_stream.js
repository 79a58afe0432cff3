/**
 * One attempt of a completion on a model engine. Events pass on whole, in order
 * and unread.
 */
import { Verdict } from "../schema/mod.js";
import { getReason } from "../sys/errors.js";
import { HttpSendError, readBody, sendHttp, watchIdle, } from "../sys/http.js";
import { EventSplitter } from "./event_splitter.js";
/** Largest answer that is not a stream, in bytes. */
const MAX_ANSWER_BYTES = 16 << 20;
function encodeBody(attempt) {
    const { body, progress } = attempt;
    const resume = progress.tokens === 0
        ? {}
        : { resume_text: progress.text, resume_tokens: progress.tokens };
    return JSON.stringify({ ...body, stream: true, ...resume });
}
/** Runs one attempt and passes its events to `sink`. */
export async function runEngineAttempt(attempt, sink) {
    try {
        const answer = await sendHttp({
            address: attempt.address,
            method: "POST",
            path: attempt.path,
            headers: {
                "content-type": "application/json",
                "x-request-id": attempt.requestId,
            },
            body: encodeBody(attempt),
            isFresh: attempt.isFresh,
            headTimeoutMs: attempt.stallMs,
            signal: attempt.signal,
        });
        if (answer.status !== 200) {
            return {
                kind: "answered",
                status: answer.status,
                body: await readBody(answer.body, MAX_ANSWER_BYTES),
                contentType: answer.headers["content-type"] ?? "",
            };
        }
        return await pumpEvents(answer, attempt, sink);
    }
    catch (error) {
        if (attempt.signal.aborted)
            return { kind: "aborted" };
        const sent = error instanceof HttpSendError ? error : undefined;
        return {
            kind: "broken",
            reason: getReason(error),
            verdict: sent?.verdict ?? Verdict.MAY_HAVE_RUN,
            isConnectionLost: sent?.isBroken ?? true,
        };
    }
}
function pumpEvents(answer, attempt, sink) {
    const { body } = answer;
    return new Promise((resolve) => {
        let isDone = false;
        let isStalled = false;
        let isPaused = false;
        watchIdle(body, attempt.stallMs, () => {
            // A caller that reads slowly is no fault of the engine.
            if (isPaused)
                return;
            isStalled = true;
            body.destroy();
        });
        const finish = () => {
            if (isDone)
                resolve({ kind: "done" });
            else if (attempt.signal.aborted)
                resolve({ kind: "aborted" });
            else {
                resolve({
                    kind: "broken",
                    reason: isStalled ? "the stream stalled" : "the stream broke off",
                    verdict: Verdict.MAY_HAVE_RUN,
                    isConnectionLost: !isStalled,
                });
            }
        };
        const pause = () => {
            if (isPaused)
                return;
            isPaused = true;
            body.pause();
            sink.whenReady().then(() => {
                isPaused = false;
                body.resume();
            });
        };
        const splitter = new EventSplitter();
        body.on("data", (chunk) => {
            const events = splitter.tryTake(chunk);
            if (events === undefined)
                return;
            isDone ||= events.isDone;
            if (!sink.onEvents(events.bytes, events.count))
                pause();
        });
        body.on("end", finish);
        body.on("error", () => { });
        body.on("close", finish);
    });
}
//# sourceMappingURL=engine_stream.js.map