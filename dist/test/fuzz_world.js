/**
 * A small world around the state machines and the view: entries that claim,
 * run, lose answers, come back late and die; callers that resend; operators
 * that race; servers that leave. The oracle knows what really ran.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { BackendView, FleetView } from "../membership/mod.js";
import { AnnouncementSchema, ControlCommandSchema, ControlReplySchema, FinishedItemSchema, ItemCommandSchema, ItemReplySchema, ItemSchema, ItemState, MessageCode, OrderSchema, Verdict, } from "../schema/mod.js";
import { ControlMachine, ItemMachine } from "../state/mod.js";
/** Thrown with the name of the promise that was broken. */
export class BrokenPromise extends Error {
}
/** Names of the promises, as failures report them. */
export const PromiseName = {
    exactlyOnce: "an accepted item completes exactly once and stays readable",
    cancelled: "a cancelled job stops",
    notRun: "a refusal that says not run is true",
    atMostOnce: "a non-idempotent request runs at most once",
    leaving: "a leaving server receives no new work",
    stop: "a planned stop loses no work",
    configuration: "an accepted configuration never reverts",
};
function requireThat(holds, promise, detail = "") {
    if (!holds)
        throw new BrokenPromise(`${promise}: ${detail}`);
}
/** The world. */
export class FuzzWorld {
    #items = new ItemMachine();
    #control = new ControlMachine();
    #index = 0;
    #nowMs = 1_000;
    #entries;
    #jobs = new Map();
    /** How often each item or request really ran. */
    #runs = new Map();
    #outcomes = new Map();
    /** Messages of entries that arrive later, perhaps twice. */
    #late = [];
    #orders = new Map();
    #published = [];
    #view = new FleetView();
    #backends = new BackendView();
    #left = new Map();
    #version = 0n;
    constructor(entries = 3) {
        this.#entries = Array.from({ length: entries }, () => ({
            epoch: 0n,
            sequence: 0n,
            starts: 0,
            held: [],
        }));
    }
    /** Every process with state starts again from its snapshot. */
    restart() {
        const items = new ItemMachine();
        items.restore([...this.#items.capture()]);
        this.#items = items;
        const control = new ControlMachine();
        control.restore([...this.#control.capture()]);
        this.#control = control;
    }
    submit(job, size, nonIdempotent) {
        const jobId = `j${job}`;
        const known = this.#jobs.get(jobId);
        const count = known?.size ?? size;
        const items = Array.from({ length: count }, () => create(ItemSchema, { body: new TextEncoder().encode("{}") }));
        this.#run({ case: "putChunk", value: { jobId, index: 0, items } });
        const reply = this.#run({
            case: "commitJob",
            value: {
                id: jobId,
                caller: `caller${job % 2}`,
                deployment: "d",
                itemCount: BigInt(count),
                nonIdempotent: known?.nonIdempotent ?? nonIdempotent,
            },
        });
        requireThat(reply.code === 0, PromiseName.exactlyOnce, reply.detail);
        if (known !== undefined)
            return;
        this.#jobs.set(jobId, { size, nonIdempotent, isCancelled: false });
    }
    cancel(job) {
        const jobId = `j${job}`;
        const known = this.#jobs.get(jobId);
        this.#run({ case: "cancelJob", value: { jobId } });
        if (known !== undefined)
            known.isCancelled = true;
    }
    /** An entry claims; its answer may be lost, and then it asks again. */
    claim(place, count, isLost) {
        const entry = this.#getOpenEntry(place);
        const ask = () => this.#run({
            case: "claimItems",
            value: {
                epoch: entry.epoch,
                sequence: entry.sequence + 1n,
                shares: [{ deployment: "d", maxItems: count }],
            },
        });
        if (isLost)
            ask();
        const reply = ask();
        if (reply.code !== 0)
            return;
        entry.sequence += 1n;
        reply.claimed.forEach((claimed) => {
            const job = this.#jobs.get(claimed.ref?.jobId ?? "");
            requireThat(job?.isCancelled === false || isLost, PromiseName.cancelled, "an item was handed out");
        });
        entry.held.push(...reply.claimed);
    }
    /** An entry runs its first item; the answer comes, is lost, or is late. */
    work(place, fate) {
        const entry = this.#entries[place % this.#entries.length];
        const claimed = entry?.held.shift();
        if (entry === undefined || claimed === undefined)
            return;
        const key = `${claimed.ref?.jobId}/${claimed.ref?.index}`;
        if (fate !== "not run")
            this.#note(key);
        if (claimed.nonIdempotent) {
            requireThat((this.#runs.get(key) ?? 0) <= 1, PromiseName.atMostOnce, key);
        }
        const isEnded = fate === "answered" || fate === "late" ||
            (fate === "lost" && claimed.nonIdempotent);
        const verdict = fate === "lost" ? Verdict.MAY_HAVE_RUN : Verdict.RAN;
        const command = {
            case: "finishItems",
            value: {
                epoch: entry.epoch,
                items: [create(FinishedItemSchema, {
                        ref: claimed.ref,
                        charged: fate === "lost",
                        outcome: isEnded
                            ? {
                                verdict,
                                status: 200,
                                body: new TextEncoder().encode(`${key} by ${entry.epoch}`),
                                code: verdict === Verdict.RAN ? 0 : MessageCode.ANSWER_LOST,
                            }
                            : undefined,
                    })],
            },
        };
        this.#late.push(command);
        if (fate !== "late")
            this.#run(command);
    }
    /** A message from before arrives, late or once more. */
    deliverLate(place) {
        const command = this.#late[place % Math.max(1, this.#late.length)];
        if (command !== undefined)
            this.#run(command);
    }
    /** The lease of an entry ran out; it may not know it yet. */
    expire(place) {
        const entry = this.#getOpenEntry(place);
        this.#run({ case: "endSession", value: { epoch: entry.epoch } });
    }
    /** An entry dies and starts again. */
    crash(place) {
        const entry = this.#getOpenEntry(place);
        entry.held = [];
        entry.epoch = 0n;
    }
    /** An entry stops as planned: it hands its items back. */
    stop(place) {
        const entry = this.#getOpenEntry(place);
        const before = this.#countUnknown();
        while (entry.held.length > 0)
            this.work(place, "not run");
        // A stop waits until the entry's own results are recorded.
        this.#late.filter((command) => command?.case === "finishItems" && command.value.epoch === entry.epoch).forEach((command) => this.#run(command));
        this.#run({ case: "endSession", value: { epoch: entry.epoch } });
        requireThat(this.#countUnknown() === before, PromiseName.stop);
        entry.epoch = 0n;
    }
    /** A keyed request through an entry, which may have a lost begin. */
    request(place, key, fate) {
        const entry = this.#getOpenEntry(place);
        const name = `request ${key}`;
        const nonIdempotent = key % 2 === 0;
        this.#index += 1;
        const attemptId = `a${this.#index}`;
        const begin = () => this.#run({
            case: "beginRequest",
            value: {
                key: name,
                caller: "c",
                epoch: entry.epoch,
                nonIdempotent,
                attemptId,
            },
        });
        const reply = begin();
        if (reply.code !== 0 || !reply.begun) {
            this.#checkKnown(name, reply);
            return;
        }
        if (fate !== "not run")
            this.#note(name);
        if (nonIdempotent) {
            requireThat(this.#runs.get(name) === 1 || fate === "not run", PromiseName.atMostOnce, name);
        }
        if (fate === "held")
            return;
        const isEnded = fate === "answered" || (fate === "lost" && nonIdempotent);
        const verdict = fate === "lost" ? Verdict.MAY_HAVE_RUN : Verdict.RAN;
        const command = {
            case: "finishRequest",
            value: {
                epoch: entry.epoch,
                caller: "c",
                key: name,
                attemptId,
                outcome: isEnded ? { verdict, status: 200 } : undefined,
            },
        };
        this.#late.push(command);
        this.#run(command);
    }
    /** An operator's order on a version it knows, perhaps an old one. */
    order(id, back, reserve) {
        const orderId = `o${id}`;
        const expected = this.#control.configuration.version - BigInt(back);
        const order = create(OrderSchema, {
            orderId,
            operator: "one",
            expectedVersion: expected < 0n ? 0n : expected,
            action: reserve === 0 ? { case: "drain", value: { name: `s${id}` } } : {
                case: "putDeployment",
                value: { name: `d${reserve}`, kind: 1 },
            },
        });
        this.#index += 1;
        const bytes = toBinary(ControlCommandSchema, create(ControlCommandSchema, {
            command: { case: "order", value: order },
        }));
        const reply = this.#control.apply(bytes, this.#createContext());
        const { outcome } = fromBinary(ControlReplySchema, reply);
        const text = `${outcome?.accepted} ${outcome?.version} ${outcome?.code}`;
        const isReused = outcome?.code === MessageCode.ORDER_REUSED;
        const first = this.#orders.get(orderId);
        if (first === undefined)
            this.#orders.set(orderId, text);
        else {
            requireThat(isReused || first === text, PromiseName.configuration, `${orderId} got ${text}, first ${first}`);
        }
        this.#published.push(this.#control.configuration);
    }
    /** A configuration reaches an entry, in any order. */
    deliverConfiguration(place) {
        const one = this.#published[place % Math.max(1, this.#published.length)];
        const before = this.#view.configuration.version;
        if (one !== undefined)
            this.#view.acceptConfiguration(one);
        requireThat(this.#view.configuration.version >= before, PromiseName.configuration, "a view went back");
    }
    /** An announcement of a server arrives, new or from before. */
    announce(server, incarnation, sequence, leaving) {
        const name = `s${server}`;
        this.#nowMs += 10;
        // Of one incarnation, whatever is sent after the leave says so too.
        const leftAt = this.#left.get(`${name}/${incarnation}`) ?? Infinity;
        const isLeaving = sequence >= leftAt || leaving;
        const announcement = create(AnnouncementSchema, {
            name,
            incarnation: BigInt(incarnation),
            sequence: BigInt(sequence),
            address: "a",
            deployment: "d",
            leaving: isLeaving,
            leaseMs: 1_000_000,
        });
        const known = this.#backends.tryGet(name)?.announcement;
        this.#backends.accept(announcement, this.#nowMs);
        const isNews = known === undefined ||
            incarnation > Number(known.incarnation) ||
            (incarnation === Number(known.incarnation) &&
                sequence > Number(known.sequence));
        if (isNews && isLeaving) {
            this.#left.set(`${name}/${incarnation}`, Math.min(leftAt, sequence));
        }
        const isServing = this.#backends.getServing("d", this.#nowMs)
            .some((one) => one.name === name);
        const newest = this.#backends.tryGet(name)?.announcement;
        const hasLeft = this.#left.has(`${name}/${newest?.incarnation}`);
        requireThat(!(isServing && hasLeft), PromiseName.leaving, name);
    }
    /** What has to hold after each step. */
    check() {
        const { version } = this.#control.configuration;
        requireThat(version >= this.#version, PromiseName.configuration, "state");
        this.#version = version;
        this.#jobs.forEach((job, jobId) => this.#checkJob(jobId, job));
    }
    /** Lets everything come to its end and checks that nothing is left. */
    drain() {
        Array.from({ length: 4 }).forEach(() => {
            this.#entries.forEach((_, place) => {
                this.stop(place);
                this.claim(place, 1_000, false);
                const entry = this.#entries[place];
                while ((entry?.held.length ?? 0) > 0)
                    this.work(place, "answered");
            });
        });
        this.#entries.forEach((entry) => this.#run({
            case: "endSession",
            value: { epoch: entry.epoch },
        }));
        this.check();
        this.#jobs.forEach((job, jobId) => {
            const record = this.#items.tryGetJob(jobId);
            requireThat((record?.endedMs ?? 0n) > 0n, job.isCancelled ? PromiseName.cancelled : PromiseName.exactlyOnce, `${jobId} never ended`);
        });
    }
    #checkJob(jobId, job) {
        const items = this.#items.getItems(jobId, 0, job.size);
        requireThat(items.length === job.size, PromiseName.exactlyOnce, jobId);
        items.forEach((item, index) => {
            const key = `${jobId}/${index}`;
            const text = item.outcome === undefined
                ? ""
                : `${item.outcome.verdict} ${new TextDecoder().decode(item.outcome.body)}`;
            const before = this.#outcomes.get(key) ?? "";
            requireThat(before === "" || before === text, PromiseName.exactlyOnce, `${key} changed from ${before} to ${text}`);
            this.#outcomes.set(key, text);
            const ran = this.#runs.get(key) ?? 0;
            if (item.outcome?.verdict === Verdict.NOT_RUN) {
                requireThat(ran === 0, PromiseName.notRun, key);
            }
            if (job.isCancelled) {
                requireThat(item.state !== ItemState.ACCEPTED, PromiseName.cancelled, `${key} still waits`);
            }
        });
    }
    #checkKnown(name, reply) {
        const verdict = reply.request?.outcome?.verdict;
        if (verdict !== Verdict.NOT_RUN)
            return;
        requireThat(!this.#runs.has(name), PromiseName.notRun, name);
    }
    #countUnknown() {
        return [...this.#jobs.keys()].reduce((sum, id) => sum + (this.#items.tryGetJob(id)?.unknownCount ?? 0n), 0n);
    }
    #note(key) {
        this.#runs.set(key, (this.#runs.get(key) ?? 0) + 1);
    }
    #getOpenEntry(place) {
        const number = place % this.#entries.length;
        const entry = this.#entries[number];
        if (entry === undefined)
            throw new Error("no entry");
        if (entry.epoch !== 0n)
            return entry;
        entry.starts += 1;
        const reply = this.#run({
            case: "openSession",
            value: { entry: `e${number}`, incarnation: `${entry.starts}` },
        });
        entry.epoch = reply.epoch;
        entry.sequence = 0n;
        return entry;
    }
    #run(command) {
        const bytes = toBinary(ItemCommandSchema, create(ItemCommandSchema, { command }));
        const reply = this.#items.apply(bytes, this.#createContext());
        return fromBinary(ItemReplySchema, reply);
    }
    #createContext() {
        this.#index += 1;
        this.#nowMs += 1;
        return { index: this.#index, term: 1, timeMs: this.#nowMs };
    }
}
//# sourceMappingURL=fuzz_world.js.map