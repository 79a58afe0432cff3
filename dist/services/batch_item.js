/** Items that an entry holds: their requests, progress and outcomes. */
import { create } from "@bufbuild/protobuf";
import { EventLog } from "../relay/mod.js";
import { MessageCode, OutcomeSchema, Verdict, } from "../schema/mod.js";
import { ServingError } from "../sys/errors.js";
import { createWholeAnswer, getFingerprint, getPromptText, parseCompletion, } from "./completion_service.js";
import { createFailure } from "./outcomes.js";
import { parseItemLine } from "./item_line.js";
/** Statuses of an engine that condemn the item itself. */
export function isFinalStatus(status) {
    return status < 500 && status !== 429 && status !== 408;
}
/** Collects what an item's completion produces. */
export class ItemSink {
    log;
    constructor(progress) {
        this.log = new EventLog(progress);
    }
    onEvents(events) {
        this.log.append(events);
        return true;
    }
    whenReady() {
        return Promise.resolve();
    }
}
/** The completion that an item asks for; throws when its line asks for none. */
export function createItemRun(item, workload, deadlineMs) {
    const { claimed } = item;
    const line = parseItemLine(claimed.item?.body ?? new Uint8Array(), 0);
    const text = JSON.stringify({ model: workload.model, ...line.body });
    const body = parseCompletion(new TextEncoder().encode(text));
    const isChat = body.messages !== undefined;
    return {
        requestId: getItemKey(item),
        path: isChat ? "/v1/chat/completions" : "/v1/completions",
        body: { ...body, model: workload.model },
        deployment: workload.deployment,
        adapter: "",
        caller: claimed.caller,
        fingerprint: getFingerprint(workload.name, body),
        affinity: getPromptText(body),
        isNonIdempotent: claimed.nonIdempotent,
        deadlineMs,
        signal: item.abort.signal,
    };
}
/** The outcome of an item that an engine refused for good. */
export function createAnswerOutcome(end) {
    return create(OutcomeSchema, {
        verdict: Verdict.RAN,
        status: end.status,
        body: end.body,
        contentType: end.contentType,
        code: MessageCode.BACKEND_SERVER_FAILED,
        detail: `the backend server answered ${end.status}`,
    });
}
/** Names one dispatch of an item. */
export function getItemKey(item) {
    const ref = item.claimed.ref;
    return `${ref?.jobId}/${ref?.index}/${ref?.dispatch}`;
}
/** Progress as the state keeps it. */
export function encodeProgress(progress) {
    return new TextEncoder().encode(JSON.stringify(progress));
}
/** A sink that goes on from the item's progress. */
export function createSink(claimed) {
    const bytes = claimed.item?.progress ?? new Uint8Array();
    return new ItemSink(bytes.length === 0
        ? { text: "", tokens: 0 }
        : JSON.parse(new TextDecoder().decode(bytes)));
}
/** The outcome of a completion that ended. */
export function createItemOutcome(sink) {
    return create(OutcomeSchema, {
        verdict: Verdict.RAN,
        status: 200,
        body: new TextEncoder().encode(JSON.stringify(createWholeAnswer(sink.log))),
        contentType: "application/json",
    });
}
/** The outcome of an item that ended too many servers. */
export function createPoisoned(view, fingerprint) {
    return createFailure(new ServingError(MessageCode.REQUEST_POISONED, {
        verdict: Verdict.MAY_HAVE_RUN,
        parameters: { servers: view.suspicions.getDeaths(fingerprint) },
    }));
}
//# sourceMappingURL=batch_item.js.map