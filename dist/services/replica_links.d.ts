/** Links from one state host to the others; they carry all groups' messages. */
import { type ReplicaMessage } from "../schema/mod.ts";
import { ReplicaTransport } from "../state/mod.ts";
import { type RpcCredentials } from "../sys/rpc.ts";
/** Sends replicas' messages over gRPC, all of one turn in one batch. */
export declare class ReplicaLinks extends ReplicaTransport {
    #private;
    constructor(options: {
        credentials: RpcCredentials;
        getAddress: (id: string) => string | undefined;
    });
    send(message: ReplicaMessage): void;
    close(): void;
}
