/**
 * Where an online request runs. The nearest data centre goes first, then
 * others; within a data centre a prompt's prefix keeps to one server as long
 * as that server carries no more than its share. A server that failed is left
 * alone for a while and then tried with one request; a new one gets its load
 * step by step.
 */
import { getPlacementHash } from "../sys/random.js";
/** Load over the mean up to which a prefix keeps its server. */
const AFFINITY_LOAD_FACTOR = 1.25;
/** Sequences that a server may get at once when it is new. */
const FIRST_SEQUENCES = 4;
/** Further sequences for each second that a server has been known. */
const SEQUENCES_PER_SECOND = 16;
/** Sequences that a server may have by its age. */
export function getWarmLimit(knownSinceMs, nowMs) {
    const ageS = Math.max(0, nowMs - knownSinceMs) / 1_000;
    return FIRST_SEQUENCES + Math.floor(ageS * SEQUENCES_PER_SECOND);
}
function isFit(server, req, nowMs) {
    const loaded = req.model === "" || server.models.length === 0 ||
        server.models.includes(req.model);
    const adapted = req.adapter === "" || server.adapters.includes(req.adapter);
    return loaded && adapted && !req.excluded.has(server.name) &&
        nowMs >= server.setAsideUntilMs && !server.isProbed;
}
/** Sequences that stay: batch gives way. */
function getFirmSequences(server) {
    return server.sequences - server.batch;
}
function hasRoom(server, nowMs) {
    const limit = Math.min(server.sequenceLimit, getWarmLimit(server.knownSinceMs, nowMs));
    return getFirmSequences(server) < limit;
}
function pickWithin(servers, req) {
    const least = servers.reduce((best, server) => {
        if (best === undefined)
            return server;
        const difference = getFirmSequences(server) - getFirmSequences(best) ||
            server.sequences - best.sequences ||
            getPlacementHash(req.affinity + server.name) -
                getPlacementHash(req.affinity + best.name);
        return difference < 0 ? server : best;
    }, undefined);
    if (req.affinity === "" || least === undefined)
        return least;
    const total = servers.reduce((sum, one) => sum + getFirmSequences(one), 0);
    const bound = AFFINITY_LOAD_FACTOR * (total + 1) / servers.length;
    const keeper = servers.reduce((best, server) => getPlacementHash(req.affinity + server.name) >
        getPlacementHash(req.affinity + best.name)
        ? server
        : best);
    return getFirmSequences(keeper) + 1 <= Math.max(1, bound) ? keeper : least;
}
/** Decides where an online request runs now. */
export function chooseServer(servers, req, nowMs) {
    const fit = servers.filter((server) => isFit(server, req, nowMs));
    if (fit.length === 0)
        return { kind: servers.length > 0 ? "wait" : "none" };
    const roomy = fit.filter((server) => hasRoom(server, nowMs));
    const near = roomy.filter((server) => server.dataCentre === req.dataCentre);
    const chosen = pickWithin(near.length > 0 ? near : roomy, req);
    if (chosen === undefined)
        return { kind: "wait" };
    const over = chosen.sequences + 1 - chosen.sequenceTarget;
    return { kind: "server", name: chosen.name, giveWay: Math.max(0, over) };
}
//# sourceMappingURL=routing.js.map