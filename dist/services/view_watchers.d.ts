/** Processes that follow the configuration and the entries at a state host. */
import type { MessageInitShape } from "@bufbuild/protobuf";
import type { ViewUpdateSchema, WatchRequest } from "../schema/mod.ts";
import type { ControlMachine } from "../state/mod.ts";
import type { RpcStream } from "../sys/rpc.ts";
type WatchUpdate = MessageInitShape<typeof ViewUpdateSchema>;
/** Sends each watcher what is newer than what it has. */
export declare class ViewWatchers {
    #private;
    constructor(control: ControlMachine);
    /** Serves one watcher until it leaves. */
    serve(req: WatchRequest, stream: RpcStream<WatchUpdate>): Promise<void>;
    /** Tells all watchers what is new. */
    notifyAll(): void;
}
export {};
