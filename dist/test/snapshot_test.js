/** A member that is far behind is brought up by a snapshot. */
import { expect } from "chai";
import { createMembership, Replica, ReplicaTransport, StateMachine, } from "../state/mod.js";
import { createProcessContext } from "../services/mod.js";
import { waitUntil } from "../bench/mod.js";
import { MemoryFolder } from "./memory_folder.js";
import { range } from "./fleet_helpers.js";
/** Counts its commands; its snapshot is larger than one part of a transfer. */
class Counter extends StateMachine {
    count = 0;
    restored = 0;
    apply() {
        this.count += 1;
        return new Uint8Array();
    }
    capture() {
        const { count } = this;
        return range(4).map((index) => {
            const part = new Uint8Array(200_000).fill(index);
            new DataView(part.buffer).setUint32(0, count);
            return part;
        });
    }
    restore(parts) {
        const [first] = parts;
        if (first === undefined)
            return;
        this.restored += 1;
        this.count = new DataView(first.buffer, first.byteOffset).getUint32(0);
    }
}
class LocalTransport extends ReplicaTransport {
    replicas = new Map();
    send(message) {
        setImmediate(() => this.replicas.get(message.to)?.receive(message));
    }
}
const COMMANDS = 6_000;
const ids = ["a", "b", "c"];
describe("snapshots", () => {
    it("bring up a member whose entries are gone from the log", async () => {
        const context = createProcessContext({ name: "test" });
        const transport = new LocalTransport();
        const machines = ids.map(() => new Counter());
        const folders = ids.map(() => new MemoryFolder());
        const start = async (index) => {
            const id = ids[index] ?? "";
            const replica = new Replica({
                ...context,
                id,
                group: 1,
                folder: folders[index] ?? new MemoryFolder(),
                machine: machines[index] ?? new Counter(),
                transport,
                firstMembership: createMembership(ids),
                timing: { heartbeatMs: 20, electionTimeoutMs: 150 },
                snapshotBytes: 16_384,
                onFailure: (error) => {
                    throw error;
                },
            });
            transport.replicas.set(id, replica);
            await replica.start();
            return replica;
        };
        const first = [await start(0), await start(1)];
        const findLeader = () => first.find((replica) => replica.canRead());
        await waitUntil(context.clock, "leader", () => findLeader() !== undefined);
        for (const _ of range(COMMANDS / 500)) {
            const leader = findLeader();
            await Promise.all(range(500).map(() => leader?.propose(new Uint8Array(16))));
        }
        const late = await start(2);
        await waitUntil(context.clock, "the late member level with the others", () => machines[2]?.count === machines[0]?.count);
        expect(machines[2]?.restored).equal(1);
        expect(machines[2]?.count).equal(COMMANDS);
        await late.stop();
        const again = await start(2);
        await waitUntil(context.clock, "the same state after a restart", () => machines[2]?.count === COMMANDS);
        await Promise.all([...first, again].map((replica) => replica.stop()));
    });
});
//# sourceMappingURL=snapshot_test.js.map