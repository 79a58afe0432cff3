/** A worker thread of the bench: state hosts, an entry or some engines. */
import { performance } from "node:perf_hooks";
import { parentPort, workerData } from "node:worker_threads";
import { EntrySettingsSchema, StateSettingsSchema } from "../schema/mod.js";
import { createProcessContext, EntryHost, StateHost } from "../services/mod.js";
import { SystemClock } from "../sys/clock.js";
import { Metrics } from "../sys/metrics.js";
import { rpcTraffic } from "../sys/rpc.js";
import { createSettings } from "../sys/settings.js";
import { StandInEngine } from "./stand_in_engine.js";
const clock = new SystemClock();
const metrics = new Metrics({ prefix: "bench" });
async function startStates(settings) {
    const context = createProcessContext({ name: "bench", metrics });
    const hosts = settings.map((values) => new StateHost(createSettings(StateSettingsSchema, values), context));
    await Promise.all(hosts.map((host) => host.listen()));
    await Promise.all(hosts.map((host) => host.start()));
    return {
        addresses: hosts.map((host) => host.address),
        getTokens: () => 0,
        crash: () => { },
        close: async () => {
            await Promise.all(hosts.map((host) => host.halt()));
        },
    };
}
async function startEntry(settings) {
    const context = createProcessContext({ name: "bench", metrics });
    const entry = new EntryHost(createSettings(EntrySettingsSchema, settings), context);
    await entry.start();
    return {
        addresses: [entry.address, entry.peerAddress],
        getTokens: () => 0,
        crash: () => { },
        close: () => {
            entry.halt();
            return Promise.resolve();
        },
    };
}
async function startEngines(part) {
    const engines = part.engines.map((options) => new StandInEngine({ ...options, clock }));
    await Promise.all(engines.map((engine) => engine.start()));
    return {
        addresses: engines.map((engine) => engine.address),
        getTokens: () => engines.reduce((sum, engine) => sum + engine.tokenCount, 0),
        crash: (count) => engines.slice(0, count).forEach((engine) => engine.crash()),
        close: () => {
            engines.forEach((engine) => engine.crash());
            return Promise.resolve();
        },
    };
}
function startPart(part) {
    if (part.kind === "states")
        return startStates(part.settings);
    if (part.kind === "entry")
        return startEntry(part.settings);
    return startEngines(part);
}
function send(reply) {
    parentPort?.postMessage(reply);
}
const running = await startPart(workerData);
let lastUse = performance.eventLoopUtilization();
function count() {
    const use = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(use, lastUse);
    lastUse = use;
    return {
        tokens: running.getTokens(),
        busy: utilization,
        heapBytes: process.memoryUsage().heapUsed,
        ...rpcTraffic,
        metrics: metrics.getSums(),
    };
}
parentPort?.on("message", (request) => {
    if (request.kind === "count")
        send({ kind: "counts", counts: count() });
    else if (request.kind === "crash")
        running.crash(request.engines);
    else
        running.close().then(() => process.exit(0));
});
send({ kind: "ready", addresses: running.addresses });
//# sourceMappingURL=worker_main.js.map