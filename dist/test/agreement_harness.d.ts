import { type LogEntry, type LogRecord } from "../schema/mod.ts";
import { type DurableOutput, ReplicaCore } from "../state/mod.ts";
import { SeededRandom } from "../sys/random.ts";
interface SimulatedHost {
    readonly id: string;
    readonly clockRate: number;
    core: ReplicaCore;
    durable: LogRecord[];
    pending: DurableOutput | undefined;
    applied: LogEntry[];
    isUp: boolean;
}
/** Faults that the network has. */
export interface NetworkFaults {
    readonly loss: number;
    readonly doubling: number;
}
/** A simulated group. */
export declare class SimulatedGroup {
    #private;
    readonly hosts: SimulatedHost[];
    readonly random: SeededRandom;
    /** Directed pairs that are cut, as `from>to`. */
    readonly cuts: Set<string>;
    faults: NetworkFaults;
    /** Longest time that passes between two events, in milliseconds. */
    maxStepMs: number;
    /** Commands known to be committed, by index. */
    readonly committed: Map<number, string>;
    constructor(seed: number, size: number);
    get nowMs(): number;
    tryGetLeader(): SimulatedHost | undefined;
    /** Adds a host that belongs to no group yet. */
    addHost(id: string): SimulatedHost;
    crash(host: SimulatedHost): void;
    restart(host: SimulatedHost): void;
    /** Proposes a command at a host; false when it doesn't lead. */
    propose(host: SimulatedHost): boolean;
    /** One random event of the simulation. */
    step(): void;
    /** Runs without faults until the group is calm. */
    heal(ms: number): void;
    /** Runs with every message delivered at once, but for cut pairs. */
    run(ms: number): void;
    /** Takes all outputs and checks what must always hold. */
    settle(): void;
}
export {};
