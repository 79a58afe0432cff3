/**
 * Uses the replicated log as a library: three replicas in one process agree on
 * a list of words, with a custom state machine and an in-process transport.
 */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import {
  createMembership,
  Replica,
  ReplicaTransport,
  StateMachine,
} from "papayatally/state";
import { createProcessContext } from "papayatally/services";
import { DiskFolder } from "papayatally/sys";

type Message = Parameters<Replica["receive"]>[0];

/** Collects the appended words; its snapshot has a single part. */
class Words extends StateMachine {
  words: string[] = [];

  override apply(command: Uint8Array): Uint8Array {
    this.words.push(new TextDecoder().decode(command));
    return new TextEncoder().encode(String(this.words.length));
  }

  override capture(): Iterable<Uint8Array> {
    return [new TextEncoder().encode(JSON.stringify(this.words))];
  }

  override restore(parts: readonly Uint8Array[]): void {
    const text = new TextDecoder().decode(parts[0]);
    this.words = text === "" ? [] : JSON.parse(text);
  }
}

/** Delivers messages within the process. */
class LocalTransport extends ReplicaTransport {
  readonly replicas = new Map<string, Replica>();

  override send(message: Message): void {
    setImmediate(() => this.replicas.get(message.to)?.receive(message));
  }
}

/** Appends three words and returns the word list of each replica. */
export async function runReplicatedLog(): Promise<string[][]> {
  const root = await mkdtemp(path.join(tmpdir(), "replicated-log-"));
  const transport = new LocalTransport();
  const context = createProcessContext({ name: "example" });
  const ids = ["a", "b", "c"];
  const machines = ids.map(() => new Words());
  for (const [index, id] of ids.entries()) {
    const replica = new Replica({
      ...context,
      id,
      group: 1,
      folder: await DiskFolder.open(path.join(root, id)),
      machine: machines[index] ?? new Words(),
      transport,
      initialMembership: createMembership(ids),
      onFailure: (error) => {
        throw error;
      },
    });
    transport.replicas.set(id, replica);
    await replica.start();
  }
  const replicas = [...transport.replicas.values()];
  while (!replicas.some((replica) => replica.canRead())) {
    await context.clock.delay(20);
  }
  for (const word of ["lease", "quorum", "heartbeat"]) {
    const leader = replicas.find((replica) => replica.isLeader);
    await leader?.propose(new TextEncoder().encode(word));
  }
  while (machines.some((machine) => machine.words.length < 3)) {
    await context.clock.delay(20);
  }
  await Promise.all(replicas.map((replica) => replica.stop()));
  await rm(root, { recursive: true });
  return machines.map((machine) => machine.words);
}
