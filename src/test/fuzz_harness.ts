/**
 * A small world around the state machines and the view: entries that claim,
 * run, lose answers, come back late and die; callers that resend; operators
 * that race; servers that leave. The oracle knows what really ran.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { BackendView, FleetView } from "../membership/mod.ts";
import {
  AnnouncementSchema,
  type ClaimedItem,
  type Configuration,
  ControlCommandSchema,
  ControlReplySchema,
  FinishedItemSchema,
  ItemCommandSchema,
  type ItemReply,
  ItemReplySchema,
  ItemSchema,
  ItemState,
  MessageCode,
  OrderSchema,
  Verdict,
} from "../schema/mod.ts";
import { ControlMachine, ItemMachine } from "../state/mod.ts";

type ItemCommand = MessageInitShape<typeof ItemCommandSchema>["command"];

interface SimulatedEntry {
  epoch: bigint;
  sequence: bigint;
  starts: number;
  held: ClaimedItem[];
}

interface SimulatedJob {
  readonly size: number;
  readonly nonIdempotent: boolean;
  isCancelled: boolean;
}

/** Thrown with the name of the promise that was broken. */
export class InvariantViolation extends Error {}

/** Names of the promises, as failures report them. */
export const Invariant = {
  exactlyOnce: "an accepted item completes exactly once and stays readable",
  cancelled: "a cancelled job stops",
  notRun: "a refusal that says not run is true",
  atMostOnce: "a non-idempotent request runs at most once",
  leaving: "a leaving server receives no new work",
  stop: "a planned stop loses no work",
  configuration: "an accepted configuration never reverts",
} as const;

function assertInvariant(holds: boolean, invariant: string, detail = ""): void {
  if (!holds) throw new InvariantViolation(`${invariant}: ${detail}`);
}

/** The world. */
export class FuzzHarness {
  #itemMachine = new ItemMachine();
  #controlMachine = new ControlMachine();
  #logIndex = 0;
  #nowMs = 1_000;
  readonly #entries: SimulatedEntry[];
  readonly #jobs = new Map<string, SimulatedJob>();
  /** How often each item or request really ran. */
  readonly #runCounts = new Map<string, number>();
  readonly #itemOutcomes = new Map<string, string>();
  /** Messages of entries that arrive later, perhaps twice. */
  readonly #sentCommands: ItemCommand[] = [];
  readonly #orderOutcomes = new Map<string, string>();
  readonly #publishedConfigurations: Configuration[] = [];
  readonly #fleetView = new FleetView();
  readonly #backendView = new BackendView();
  readonly #leaveSequences = new Map<string, number>();
  #lastVersion = 0n;

  constructor(entries = 3) {
    this.#entries = Array.from({ length: entries }, () => ({
      epoch: 0n,
      sequence: 0n,
      starts: 0,
      held: [],
    }));
  }

  /** Every process with state starts again from its snapshot. */
  restart(): void {
    const items = new ItemMachine();
    items.restore([...this.#itemMachine.capture()]);
    this.#itemMachine = items;
    const control = new ControlMachine();
    control.restore([...this.#controlMachine.capture()]);
    this.#controlMachine = control;
  }

  submit(job: number, size: number, nonIdempotent: boolean): void {
    const jobId = `j${job}`;
    const existingJob = this.#jobs.get(jobId);
    const count = existingJob?.size ?? size;
    const items = Array.from(
      { length: count },
      () => create(ItemSchema, { body: new TextEncoder().encode("{}") }),
    );
    this.#applyItemCommand({
      case: "putChunk",
      value: { jobId, index: 0, items },
    });
    const reply = this.#applyItemCommand({
      case: "commitJob",
      value: {
        id: jobId,
        caller: `caller${job % 2}`,
        deployment: "d",
        itemCount: BigInt(count),
        nonIdempotent: existingJob?.nonIdempotent ?? nonIdempotent,
      },
    });
    assertInvariant(reply.code === 0, Invariant.exactlyOnce, reply.detail);
    if (existingJob !== undefined) return;
    this.#jobs.set(jobId, { size, nonIdempotent, isCancelled: false });
  }

  cancel(job: number): void {
    const jobId = `j${job}`;
    const existingJob = this.#jobs.get(jobId);
    this.#applyItemCommand({ case: "cancelJob", value: { jobId } });
    if (existingJob !== undefined) existingJob.isCancelled = true;
  }

  /** An entry claims; its answer may be lost, and then it asks again. */
  claim(entryIndex: number, count: number, isReplyLost: boolean): void {
    const entry = this.#getEntryWithSession(entryIndex);
    const sendClaim = () =>
      this.#applyItemCommand({
        case: "claimItems",
        value: {
          epoch: entry.epoch,
          sequence: entry.sequence + 1n,
          shares: [{ deployment: "d", maxItems: count }],
        },
      });
    if (isReplyLost) sendClaim();
    const reply = sendClaim();
    if (reply.code !== 0) return;
    entry.sequence += 1n;
    reply.claimed.forEach((claimed) => {
      const job = this.#jobs.get(claimed.ref?.jobId ?? "");
      assertInvariant(
        job?.isCancelled === false || isReplyLost,
        Invariant.cancelled,
        "an item was handed out",
      );
    });
    entry.held.push(...reply.claimed);
  }

  /** An entry runs its first item; the answer comes, is lost, or is late. */
  runItem(
    entryIndex: number,
    result: "answered" | "lost" | "not run" | "late",
  ): void {
    const entry = this.#entries[entryIndex % this.#entries.length];
    const claimed = entry?.held.shift();
    if (entry === undefined || claimed === undefined) return;
    const key = `${claimed.ref?.jobId}/${claimed.ref?.index}`;
    if (result !== "not run") this.#recordRun(key);
    if (claimed.nonIdempotent) {
      assertInvariant(
        (this.#runCounts.get(key) ?? 0) <= 1,
        Invariant.atMostOnce,
        key,
      );
    }
    const isFinal = result === "answered" || result === "late" ||
      (result === "lost" && claimed.nonIdempotent);
    const verdict = result === "lost" ? Verdict.MAY_HAVE_RUN : Verdict.RAN;
    const command: ItemCommand = {
      case: "finishItems",
      value: {
        epoch: entry.epoch,
        items: [create(FinishedItemSchema, {
          ref: claimed.ref,
          charged: result === "lost",
          outcome: isFinal
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
    this.#sentCommands.push(command);
    if (result !== "late") this.#applyItemCommand(command);
  }

  /** A message from before arrives, late or once more. */
  redeliverCommand(commandIndex: number): void {
    const command =
      this.#sentCommands[commandIndex % Math.max(1, this.#sentCommands.length)];
    if (command !== undefined) this.#applyItemCommand(command);
  }

  /** The lease of an entry ran out; it may not know it yet. */
  expire(entryIndex: number): void {
    const entry = this.#getEntryWithSession(entryIndex);
    this.#applyItemCommand({
      case: "endSession",
      value: { epoch: entry.epoch },
    });
  }

  /** An entry dies and starts again. */
  crash(entryIndex: number): void {
    const entry = this.#getEntryWithSession(entryIndex);
    entry.held = [];
    entry.epoch = 0n;
  }

  /** An entry stops as planned: it hands its items back. */
  stop(entryIndex: number): void {
    const entry = this.#getEntryWithSession(entryIndex);
    const unknownBefore = this.#countUnknownItems();
    while (entry.held.length > 0) this.runItem(entryIndex, "not run");
    // A stop waits until the entry's own results are recorded.
    this.#sentCommands.filter((command) =>
      command?.case === "finishItems" && command.value.epoch === entry.epoch
    ).forEach((command) => this.#applyItemCommand(command));
    this.#applyItemCommand({
      case: "endSession",
      value: { epoch: entry.epoch },
    });
    assertInvariant(
      this.#countUnknownItems() === unknownBefore,
      Invariant.stop,
    );
    entry.epoch = 0n;
  }

  /** A keyed request through an entry, which may have a lost begin. */
  request(
    entryIndex: number,
    key: number,
    result: "answered" | "lost" | "not run" | "held",
  ): void {
    const entry = this.#getEntryWithSession(entryIndex);
    const name = `request ${key}`;
    const nonIdempotent = key % 2 === 0;
    this.#logIndex += 1;
    const attemptId = `a${this.#logIndex}`;
    const sendBegin = () =>
      this.#applyItemCommand({
        case: "beginRequest",
        value: {
          key: name,
          caller: "c",
          epoch: entry.epoch,
          nonIdempotent,
          attemptId,
        },
      });
    const reply = sendBegin();
    if (reply.code !== 0 || !reply.begun) {
      this.#checkNotRunOutcome(name, reply);
      return;
    }
    if (result !== "not run") this.#recordRun(name);
    if (nonIdempotent) {
      assertInvariant(
        this.#runCounts.get(name) === 1 || result === "not run",
        Invariant.atMostOnce,
        name,
      );
    }
    if (result === "held") return;
    const isFinal = result === "answered" ||
      (result === "lost" && nonIdempotent);
    const verdict = result === "lost" ? Verdict.MAY_HAVE_RUN : Verdict.RAN;
    const command: ItemCommand = {
      case: "finishRequest",
      value: {
        epoch: entry.epoch,
        caller: "c",
        key: name,
        attemptId,
        outcome: isFinal ? { verdict, status: 200 } : undefined,
      },
    };
    this.#sentCommands.push(command);
    this.#applyItemCommand(command);
  }

  /** An operator's order on a version it knows, perhaps an old one. */
  order(id: number, versionsBehind: number, actionVariant: number): void {
    const orderId = `o${id}`;
    const expected = this.#controlMachine.configuration.version -
      BigInt(versionsBehind);
    const order = create(OrderSchema, {
      orderId,
      operator: "one",
      expectedVersion: expected < 0n ? 0n : expected,
      action: actionVariant === 0
        ? { case: "drain", value: { name: `s${id}` } }
        : {
          case: "putDeployment",
          value: { name: `d${actionVariant}`, kind: 1 },
        },
    });
    this.#logIndex += 1;
    const bytes = toBinary(
      ControlCommandSchema,
      create(ControlCommandSchema, {
        command: { case: "order", value: order },
      }),
    );
    const reply = this.#controlMachine.apply(bytes, this.#createContext());
    const { outcome } = fromBinary(ControlReplySchema, reply);
    const text = `${outcome?.accepted} ${outcome?.version} ${outcome?.code}`;
    const isReused = outcome?.code === MessageCode.ORDER_REUSED;
    const firstText = this.#orderOutcomes.get(orderId);
    if (firstText === undefined) this.#orderOutcomes.set(orderId, text);
    else {
      assertInvariant(
        isReused || firstText === text,
        Invariant.configuration,
        `${orderId} got ${text}, first ${firstText}`,
      );
    }
    this.#publishedConfigurations.push(this.#controlMachine.configuration);
  }

  /** A configuration reaches an entry, in any order. */
  deliverConfiguration(publishedIndex: number): void {
    const update = this
      .#publishedConfigurations[
        publishedIndex % Math.max(1, this.#publishedConfigurations.length)
      ];
    const versionBefore = this.#fleetView.configuration.version;
    if (update !== undefined) this.#fleetView.acceptConfiguration(update);
    assertInvariant(
      this.#fleetView.configuration.version >= versionBefore,
      Invariant.configuration,
      "a view went back",
    );
  }

  /** An announcement of a server arrives, new or from before. */
  announce(
    server: number,
    incarnation: number,
    sequence: number,
    leaving: boolean,
  ): void {
    const name = `s${server}`;
    this.#nowMs += 10;
    // Of one incarnation, whatever is sent after the leave says so too.
    const leaveSequence = this.#leaveSequences.get(`${name}/${incarnation}`) ??
      Infinity;
    const isLeaving = sequence >= leaveSequence || leaving;
    const announcement = create(AnnouncementSchema, {
      name,
      incarnation: BigInt(incarnation),
      sequence: BigInt(sequence),
      address: "a",
      deployment: "d",
      leaving: isLeaving,
      leaseMs: 1_000_000,
    });
    const previous = this.#backendView.tryGet(name)?.announcement;
    this.#backendView.accept(announcement, this.#nowMs);
    const isNewer = previous === undefined ||
      incarnation > Number(previous.incarnation) ||
      (incarnation === Number(previous.incarnation) &&
        sequence > Number(previous.sequence));
    if (isNewer && isLeaving) {
      this.#leaveSequences.set(
        `${name}/${incarnation}`,
        Math.min(leaveSequence, sequence),
      );
    }
    const isServing = this.#backendView.getServing("d", this.#nowMs)
      .some((one) => one.name === name);
    const current = this.#backendView.tryGet(name)?.announcement;
    const isMarkedLeaving = this.#leaveSequences.has(
      `${name}/${current?.incarnation}`,
    );
    assertInvariant(!(isServing && isMarkedLeaving), Invariant.leaving, name);
  }

  /** What has to hold after each step. */
  check(): void {
    const { version } = this.#controlMachine.configuration;
    assertInvariant(
      version >= this.#lastVersion,
      Invariant.configuration,
      "state",
    );
    this.#lastVersion = version;
    this.#jobs.forEach((job, jobId) => this.#checkJob(jobId, job));
  }

  /** Lets everything come to its end and checks that nothing is left. */
  drain(): void {
    Array.from({ length: 4 }).forEach(() => {
      this.#entries.forEach((_, index) => {
        this.stop(index);
        this.claim(index, 1_000, false);
        const entry = this.#entries[index];
        while ((entry?.held.length ?? 0) > 0) this.runItem(index, "answered");
      });
    });
    this.#entries.forEach((entry) =>
      this.#applyItemCommand({
        case: "endSession",
        value: { epoch: entry.epoch },
      })
    );
    this.check();
    this.#jobs.forEach((job, jobId) => {
      const record = this.#itemMachine.tryGetJob(jobId);
      assertInvariant(
        (record?.endedMs ?? 0n) > 0n,
        job.isCancelled ? Invariant.cancelled : Invariant.exactlyOnce,
        `${jobId} never ended`,
      );
    });
  }

  #checkJob(jobId: string, job: SimulatedJob): void {
    const items = this.#itemMachine.getItems(jobId, 0, job.size);
    assertInvariant(items.length === job.size, Invariant.exactlyOnce, jobId);
    items.forEach((item, index) => {
      const key = `${jobId}/${index}`;
      const text = item.outcome === undefined
        ? ""
        : `${item.outcome.verdict} ${
          new TextDecoder().decode(item.outcome.body)
        }`;
      const previousText = this.#itemOutcomes.get(key) ?? "";
      assertInvariant(
        previousText === "" || previousText === text,
        Invariant.exactlyOnce,
        `${key} changed from ${previousText} to ${text}`,
      );
      this.#itemOutcomes.set(key, text);
      const runCount = this.#runCounts.get(key) ?? 0;
      if (item.outcome?.verdict === Verdict.NOT_RUN) {
        assertInvariant(runCount === 0, Invariant.notRun, key);
      }
      if (job.isCancelled) {
        assertInvariant(
          item.state !== ItemState.ACCEPTED,
          Invariant.cancelled,
          `${key} still waits`,
        );
      }
    });
  }

  #checkNotRunOutcome(name: string, reply: ItemReply): void {
    const verdict = reply.request?.outcome?.verdict;
    if (verdict !== Verdict.NOT_RUN) return;
    assertInvariant(!this.#runCounts.has(name), Invariant.notRun, name);
  }

  #countUnknownItems(): bigint {
    return [...this.#jobs.keys()].reduce(
      (sum, id) => sum + (this.#itemMachine.tryGetJob(id)?.unknownCount ?? 0n),
      0n,
    );
  }

  #recordRun(key: string): void {
    this.#runCounts.set(key, (this.#runCounts.get(key) ?? 0) + 1);
  }

  #getEntryWithSession(entryIndex: number): SimulatedEntry {
    const wrappedIndex = entryIndex % this.#entries.length;
    const entry = this.#entries[wrappedIndex];
    if (entry === undefined) throw new Error("no entry");
    if (entry.epoch !== 0n) return entry;
    entry.starts += 1;
    const reply = this.#applyItemCommand({
      case: "openSession",
      value: { entry: `e${wrappedIndex}`, incarnation: `${entry.starts}` },
    });
    entry.epoch = reply.epoch;
    entry.sequence = 0n;
    return entry;
  }

  #applyItemCommand(command: ItemCommand): ItemReply {
    const bytes = toBinary(
      ItemCommandSchema,
      create(ItemCommandSchema, { command }),
    );
    const reply = this.#itemMachine.apply(bytes, this.#createContext());
    return fromBinary(ItemReplySchema, reply);
  }

  #createContext() {
    this.#logIndex += 1;
    this.#nowMs += 1;
    return { index: this.#logIndex, term: 1, timeMs: this.#nowMs };
  }
}
