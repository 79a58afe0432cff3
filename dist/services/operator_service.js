import { MessageCode, Operators, Verdict, } from "../schema/mod.js";
import { asServingError, ServingError } from "../sys/errors.js";
import { CONTROL_GROUP, getItemGroups } from "./groups.js";
const EXPORT_PAGE_ITEMS = 500;
/** Serves operators on a process's gRPC server. */
export function addOperatorService(options) {
    const { server, state } = options;
    server.addService(Operators, {
        submit: (order, peer) => {
            requireIdentity(options, peer, order.operator);
            return state.submit(order);
        },
        getConfiguration: async () => {
            const reply = await state.query(CONTROL_GROUP, {
                case: "configuration",
                value: true,
            });
            return reply.configuration ?? {};
        },
        changeMember: (req) => changeMember(options, req),
        dump: () => Promise.resolve({ json: JSON.stringify(options.getDump()) }),
        inFlight: () => getInFlight(options),
        export: (req, stream, peer) => {
            requireIdentity(options, peer, req.operator);
            return exportRecords(options, req, stream);
        },
    });
}
/** With certificates, an operator speaks only for itself. */
function requireIdentity(options, peer, operator) {
    if (!options.isSecure || peer.identity === operator)
        return;
    throw new ServingError(MessageCode.ORDER_FORBIDDEN, {
        verdict: Verdict.NOT_RUN,
        parameters: { operator: peer.identity, name: `orders of ${operator}` },
    });
}
async function changeMember(options, req) {
    const leader = options.getLeaderAddress?.(req.group) ?? "";
    try {
        if (options.changeMember === undefined) {
            throw new ServingError(MessageCode.MEMBERSHIP_REFUSED, {
                parameters: { reason: "this process holds no replicas" },
            });
        }
        await options.changeMember(req);
        return { accepted: true, leader };
    }
    catch (error) {
        const failure = asServingError(error);
        return {
            accepted: false,
            code: failure.code,
            detail: failure.message,
            leader,
        };
    }
}
async function getInFlight(options) {
    const replies = await Promise.all(getItemGroups(options.groupCount).map((group) => options.state.query(group, { case: "counts", value: true })));
    const sum = (get) => replies.reduce((total, { counts }) => total + (counts ? get(counts) : 0n), 0n);
    const state = {
        jobs: sum((counts) => counts.jobs),
        accepted: sum((counts) => counts.accepted),
        dispatched: sum((counts) => counts.dispatched),
        finished: sum((counts) => counts.finished),
        requestsDispatched: sum((counts) => counts.requestsDispatched),
    };
    const entries = await options.countEntries();
    const left = state.jobs + state.accepted + state.dispatched +
        state.requestsDispatched;
    return {
        quiet: left === 0n && entries.streams === 0 && entries.claims === 0 &&
            entries.unreachable.length === 0,
        state,
        entryStreams: BigInt(entries.streams),
        entryClaims: BigInt(entries.claims),
        unreachable: entries.unreachable,
    };
}
async function exportRecords(options, req, stream) {
    for (const group of getItemGroups(options.groupCount)) {
        if (req.jobId === "")
            await exportHeads(options, { req, group, stream });
        else
            await exportItems(options, { req, group, stream });
    }
}
async function exportHeads({ state }, { req, group, stream }) {
    const { operator } = req;
    const { jobs } = await state.query(group, {
        case: "listJobs",
        value: { operator },
    });
    for (const job of jobs) {
        await stream.send({ record: { case: "job", value: job } });
    }
    let after = "";
    for (;;) {
        const { requests } = await state.query(group, {
            case: "listRequests",
            value: { operator, after, limit: EXPORT_PAGE_ITEMS },
        });
        for (const request of requests) {
            await stream.send({ record: { case: "request", value: request } });
        }
        const last = requests.at(-1);
        if (last === undefined || requests.length < EXPORT_PAGE_ITEMS)
            return;
        after = `${last.caller}/${last.key}`;
    }
}
async function exportItems({ state }, { req, group, stream }) {
    const { jobId, operator } = req;
    let after = 0;
    do {
        const page = await state.query(group, {
            case: "readResults",
            value: { jobId, after, limit: EXPORT_PAGE_ITEMS },
        });
        // No partner sees the other's data.
        if (page.jobs[0]?.operator !== operator)
            return;
        for (const [offset, item] of page.items.entries()) {
            const value = { jobId, index: after + offset, item };
            await stream.send({ record: { case: "item", value } });
        }
        after = page.next;
    } while (after !== 0);
}
//# sourceMappingURL=operator_service.js.map