/**
 * One replica of a group: the agreement, its storage and its state machine,
 * driven by two routines. The disk routine makes records durable in batches;
 * the prompt routine sends heartbeats and applies entries, and never waits for
 * the disk.
 */
import { create } from "@bufbuild/protobuf";
import { MessageCode, SnapshotMarkSchema, Verdict, } from "../../schema/mod.js";
import { getReason, ServingError } from "../../sys/errors.js";
import { MetricName } from "../../sys/metrics.js";
import { createSlidingChannel, send, spawnRoutine, tryReceive, waitFor, } from "../../sys/routines.js";
import { ReplicaStore } from "../log/replica_store.js";
import { getEntryBytes } from "../log/entry_log.js";
import { IncomingSnapshot, splitSnapshot } from "./snapshot_transfer.js";
import { Role } from "./core_types.js";
import { ReplicaCore } from "./replica_core.js";
import { DEFAULT_TIMING } from "./timing.js";
/** Carries messages to other replicas; it may lose, delay and reorder them. */
export class ReplicaTransport {
}
const TICKS_PER_HEARTBEAT = 4;
const DEFAULT_SNAPSHOT_BYTES = 32 << 20;
/** Entries kept after a snapshot for followers that are a little behind. */
const KEPT_ENTRIES = 2000;
/** Parts encoded before other work of the process gets its turn. */
const PARTS_PER_TURN = 64;
/** A running replica. */
export class Replica {
    #options;
    #timing;
    #store;
    #diskWake = createSlidingChannel(1);
    #promptWake = createSlidingChannel(1);
    #pending = new Map();
    #core;
    #timer;
    #appliedIndex = 0;
    #logBytes = 0;
    #snapshotRunning = false;
    #snapshotReady;
    #incoming = new IncomingSnapshot();
    #installReady;
    #stopped = false;
    #lastRole = Role.follower;
    recoveredBytes = 0;
    constructor(options) {
        this.#options = options;
        this.#timing = options.timing ?? DEFAULT_TIMING;
        this.#store = new ReplicaStore(options.folder);
    }
    /** Recovers the durable state and starts taking part. */
    async start() {
        const recovered = await this.#store.recover();
        this.recoveredBytes = recovered.recoveredBytes;
        this.#options.machine.restore(recovered.snapshotParts);
        this.#appliedIndex = Number(recovered.mark.index);
        this.#core = new ReplicaCore({
            id: this.#options.id,
            group: this.#options.group,
            recovered,
            firstMembership: this.#options.firstMembership,
            random: this.#options.random,
            nowMs: this.#options.clock.getMonotonicMs(),
            timing: this.#timing,
        });
        const tickMs = this.#timing.heartbeatMs / TICKS_PER_HEARTBEAT;
        this.#timer = this.#options.clock.startInterval(tickMs, () => this.#tick());
        const onError = (error) => this.#fail(error);
        spawnRoutine(() => this.#runDisk(), onError);
        spawnRoutine(() => this.#runPrompt(), onError);
        this.#wake();
    }
    /** Stops taking part; what was acknowledged is durable already. */
    async stop() {
        if (this.#stopped)
            return;
        this.#stopped = true;
        this.#timer?.cancel();
        this.#diskWake.close();
        this.#promptWake.close();
        this.#rejectPending("the replica stops");
        await this.#store.close();
    }
    get isLeader() {
        return this.#core?.role === Role.leader;
    }
    /** The leader this replica knows of; empty when it knows none. */
    get leader() {
        return this.#core?.leader ?? "";
    }
    get membership() {
        return this.#core?.membership ?? this.#options.firstMembership;
    }
    get term() {
        return this.#core?.term ?? 0;
    }
    /** Whether the own state is current enough to answer reads. */
    canRead() {
        const core = this.#core;
        return core !== undefined && !this.#stopped &&
            this.#appliedIndex >= core.commitIndex &&
            core.holdsLease(this.#options.clock.getMonotonicMs());
    }
    /** Milliseconds left of the leader's lease; zero when it is not held. */
    getLeaseLeftMs() {
        if (!this.canRead())
            return 0;
        const nowMs = this.#options.clock.getMonotonicMs();
        return Math.max(0, this.#core?.getLeaseLeftMs(nowMs) ?? 0);
    }
    /** Takes a message from another replica. */
    receive(message) {
        const core = this.#core;
        if (core === undefined || this.#stopped)
            return;
        core.receive(message, this.#options.clock.getMonotonicMs());
        if (message.body.case === "snapshotRequest") {
            this.#receiveSnapshot(core, message, message.body.value);
        }
        this.#wake();
    }
    /**
     * Replicates a command and returns the state machine's reply.
     *
     * Throws NOT_LEADER (not run) when this replica does not lead, and
     * MAY_HAVE_COMMITTED when leadership was lost before the command's fate was
     * known.
     */
    propose(command) {
        const { clock } = this.#options;
        const proposed = this.#stopped
            ? undefined
            : this.#core?.tryPropose(command, clock.getWallMs());
        if (proposed === undefined)
            return Promise.reject(this.#createNotLeader());
        this.#options.metrics.count(MetricName.proposals);
        this.#wake();
        return this.#waitForCommit(proposed);
    }
    /**
     * Changes the membership and resolves once the change is committed. Throws
     * MEMBERSHIP_REFUSED (not run) when it can't be made now.
     */
    async changeMembership(change) {
        const core = this.#core;
        const refusal = core === undefined || this.#stopped
            ? "not the leader"
            : core.changeMembership(change, this.#options.clock.getWallMs());
        if (core === undefined || refusal !== undefined) {
            throw new ServingError(MessageCode.MEMBERSHIP_REFUSED, {
                verdict: Verdict.NOT_RUN,
                parameters: { reason: refusal ?? "" },
            });
        }
        this.#wake();
        await this.#waitForCommit({ index: core.lastIndex, term: core.term });
    }
    /** Hands leadership to another voter; resolves when it is gone. */
    async transferLeadership() {
        const started = this.#core?.transferLeadership() ?? false;
        this.#wake();
        const rounds = started
            ? Math.ceil(2 * this.#timing.electionTimeoutMs / this.#timing.heartbeatMs)
            : 0;
        for (let round = 0; round < rounds && this.isLeader; round += 1) {
            await this.#options.clock.delay(this.#timing.heartbeatMs);
        }
    }
    getDump() {
        const core = this.#core;
        return {
            group: this.#options.group,
            role: core?.role ?? Role.follower,
            term: this.term,
            leader: this.leader,
            commitIndex: core?.commitIndex ?? 0,
            lastIndex: core?.lastIndex ?? 0,
            appliedIndex: this.#appliedIndex,
            segmentBytes: this.#store.segmentBytes,
            members: this.membership.members.map((member) => ({
                id: member.id,
                learner: member.learner,
                matchIndex: core?.getMatchIndex(member.id) ?? 0,
            })),
        };
    }
    /** Resolves with the machine's reply; empty where it was not asked. */
    #waitForCommit(proposed) {
        return new Promise((resolve, reject) => {
            this.#pending.set(proposed.index, {
                term: proposed.term,
                startMs: this.#options.clock.getMonotonicMs(),
                resolve,
                reject,
            });
        });
    }
    #wake() {
        send(this.#promptWake, true);
        send(this.#diskWake, true);
    }
    #tick() {
        this.#core?.tick(this.#options.clock.getMonotonicMs());
        this.#wake();
    }
    #fail(error) {
        if (this.#stopped)
            return;
        this.#options.log.error("replica_failed", {
            group: this.#options.group,
            reason: getReason(error),
        });
        this.stop().catch(() => { });
        this.#options.onFailure(error);
    }
    *#runDisk() {
        while ((yield* tryReceive(this.#diskWake)) !== undefined) {
            yield* this.#drainDisk();
            yield* this.#switchSegment();
            yield* this.#installSnapshot();
        }
    }
    *#drainDisk() {
        const core = this.#getCore();
        for (;;) {
            const output = core.tryTakeDurable();
            if (output === undefined || this.#stopped)
                return;
            if (output.records.length > 0) {
                yield* waitFor(this.#store.append(output.records));
                this.#options.metrics.count(MetricName.syncs);
                this.#logBytes += getRecordBytes(output.records);
                core.confirmDurable(output.durableIndex);
                send(this.#promptWake, true);
            }
            output.messagesAfterSync.forEach((message) => this.#send(message));
        }
    }
    *#switchSegment() {
        const mark = this.#snapshotReady;
        if (mark === undefined || this.#stopped)
            return;
        this.#snapshotReady = undefined;
        const core = this.#getCore();
        const keptAfter = Math.max(0, Number(mark.index) - KEPT_ENTRIES);
        yield* waitFor(this.#store.compact(mark, {
            hardState: core.hardState,
            entries: core.getEntriesAfter(keptAfter),
        }));
        core.compactTo(keptAfter);
        this.#logBytes = 0;
        this.#snapshotRunning = false;
    }
    *#installSnapshot() {
        const install = this.#installReady;
        this.#installReady = undefined;
        const core = this.#getCore();
        if (install === undefined || this.#stopped)
            return;
        if (!core.needsSnapshot(install.image.mark))
            return;
        yield* waitFor(this.#store.writeSnapshot(install.image));
        yield* waitFor(this.#store.compact(install.image.mark, {
            hardState: core.hardState,
            entries: [],
        }));
        if (!core.needsSnapshot(install.image.mark))
            return;
        this.#options.machine.restore(install.image.parts);
        this.#appliedIndex = Number(install.image.mark.index);
        core.installSnapshot(install.image.mark, install.from, install.round, this.#options.clock.getMonotonicMs());
        this.#options.onApplied?.();
        this.#wake();
    }
    *#runPrompt() {
        while ((yield* tryReceive(this.#promptWake)) !== undefined) {
            const core = this.#getCore();
            const output = core.tryTakePrompt();
            this.#noteRole(core);
            if (output === undefined)
                continue;
            output.messages.forEach((message) => this.#send(message));
            this.#applyAll(output.committed);
            output.snapshotTo.forEach((id) => this.#sendSnapshot(id));
            send(this.#diskWake, true);
        }
    }
    #getCore() {
        if (this.#core === undefined)
            throw new Error("the replica is not started");
        return this.#core;
    }
    #send(message) {
        if (this.#stopped)
            return;
        this.#options.metrics.count(MetricName.replicaMessages);
        this.#options.transport.send(message);
    }
    #noteRole(core) {
        if (core.role === this.#lastRole)
            return;
        const led = this.#lastRole === Role.leader;
        this.#lastRole = core.role;
        this.#options.log.info("role_changed", {
            group: this.#options.group,
            role: core.role,
            term: core.term,
        });
        if (core.role === Role.leader) {
            this.#options.metrics.count(MetricName.elections);
        }
        if (led)
            this.#rejectPending("leadership was lost");
    }
    #applyAll(entries) {
        if (entries.length === 0)
            return;
        entries.forEach((entry) => this.#apply(entry));
        this.#options.onApplied?.();
        this.#startSnapshotWhenDue();
    }
    #apply(entry) {
        const index = Number(entry.index);
        const reply = entry.payload.case === "command"
            ? this.#options.machine.apply(entry.payload.value, {
                index,
                term: Number(entry.term),
                timeMs: Number(entry.timeMs),
            })
            : new Uint8Array();
        this.#appliedIndex = index;
        const pending = this.#pending.get(index);
        if (pending === undefined)
            return;
        this.#pending.delete(index);
        if (pending.term !== Number(entry.term)) {
            pending.reject(this.#createNotLeader());
            return;
        }
        const tookMs = this.#options.clock.getMonotonicMs() - pending.startMs;
        this.#options.metrics.time(MetricName.commitMs, tookMs);
        pending.resolve(reply);
    }
    #rejectPending(reason) {
        const error = new ServingError(MessageCode.MAY_HAVE_COMMITTED, {
            verdict: Verdict.MAY_HAVE_RUN,
            parameters: { reason },
        });
        this.#pending.forEach((pending) => pending.reject(error));
        this.#pending.clear();
    }
    #createNotLeader() {
        return new ServingError(MessageCode.NOT_LEADER, {
            verdict: Verdict.NOT_RUN,
            parameters: { replica: this.#options.id, group: this.#options.group },
        });
    }
    #startSnapshotWhenDue() {
        const limit = this.#options.snapshotBytes ?? DEFAULT_SNAPSHOT_BYTES;
        if (this.#snapshotRunning || this.#logBytes < limit)
            return;
        this.#snapshotRunning = true;
        const core = this.#getCore();
        const mark = core.createMarkAt(this.#appliedIndex);
        const parts = this.#options.machine.capture();
        this.#writeSnapshot(mark, parts).then(() => {
            this.#snapshotReady = mark;
            this.#wake();
        }, (error) => this.#fail(error));
    }
    async #writeSnapshot(mark, captured) {
        const parts = [];
        for (const part of captured) {
            parts.push(part);
            if (parts.length % PARTS_PER_TURN === 0) {
                await this.#options.clock.delay(0);
            }
        }
        await this.#store.writeSnapshot({ mark, parts });
    }
    #sendSnapshot(to) {
        this.#store.tryReadSnapshot().then((image) => {
            const core = this.#getCore();
            if (image === undefined || core.role !== Role.leader)
                return;
            splitSnapshot(image).forEach((part) => this.#send(core.createSnapshotMessage(to, part)));
        }).catch((error) => this.#fail(error));
    }
    #receiveSnapshot(core, message, request) {
        const mark = request.mark ?? create(SnapshotMarkSchema);
        if (Number(message.term) !== core.term)
            return;
        if (!core.needsSnapshot(mark)) {
            core.vouchForSnapshot(mark, message.from, request.round);
            return;
        }
        const image = this.#incoming.tryComplete(message.from, request);
        if (image === undefined)
            return;
        this.#installReady = { image, from: message.from, round: request.round };
    }
}
function getRecordBytes(records) {
    return records.reduce((sum, { record }) => sum +
        (record.case === "entry" ? getEntryBytes(record.value) : 0), 0);
}
//# sourceMappingURL=replica.js.map