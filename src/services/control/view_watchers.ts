/** Processes that follow the configuration and the entries at a state host. */
import type { MessageInitShape } from "@bufbuild/protobuf";
import type { ViewUpdateSchema, WatchRequest } from "../../schema/mod.ts";
import type { ControlMachine } from "../../state/mod.ts";
import type { RpcStream } from "../../sys/rpc.ts";

type WatchUpdate = MessageInitShape<typeof ViewUpdateSchema>;

interface Watcher {
  readonly stream: RpcStream<WatchUpdate>;
  version: number;
  entriesVersion: number;
  isSending: boolean;
}

/** Sends each watcher what is newer than what it has. */
export class ViewWatchers {
  readonly #control: ControlMachine;
  readonly #watchers = new Set<Watcher>();

  constructor(control: ControlMachine) {
    this.#control = control;
  }

  /** Serves one watcher until it leaves. */
  serve(req: WatchRequest, stream: RpcStream<WatchUpdate>): Promise<void> {
    const watcher: Watcher = {
      stream,
      version: Number(req.version),
      entriesVersion: Number(req.entriesVersion),
      isSending: false,
    };
    this.#watchers.add(watcher);
    this.#sendUpdate(watcher);
    return new Promise((resolve) =>
      stream.onClosed(() => {
        this.#watchers.delete(watcher);
        resolve();
      })
    );
  }

  /** Tells all watchers what is new. */
  notifyAll(): void {
    this.#watchers.forEach((watcher) => this.#sendUpdate(watcher));
  }

  /** Sends what is newer than what the watcher has, one update at a time. */
  #sendUpdate(watcher: Watcher): void {
    const { configuration, entries, entriesVersion } = this.#control;
    const version = Number(configuration.version);
    const hasUpdate = version > watcher.version ||
      entriesVersion > watcher.entriesVersion;
    if (!hasUpdate || watcher.isSending || watcher.stream.closed) return;
    const update = {
      configuration: version > watcher.version ? configuration : undefined,
      entries: entriesVersion > watcher.entriesVersion ? entries : [],
      entriesVersion: BigInt(entriesVersion),
    };
    watcher.version = version;
    watcher.entriesVersion = entriesVersion;
    watcher.isSending = true;
    watcher.stream.send(update).then(() => {
      watcher.isSending = false;
      this.#sendUpdate(watcher);
    });
  }
}
