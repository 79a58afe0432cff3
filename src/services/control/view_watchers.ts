/** Publishes the configuration and the entries of a state host to watchers. */
import type { MessageInitShape } from "@bufbuild/protobuf";
import type { ViewUpdateSchema, WatchRequest } from "../../schema/mod.ts";
import type { ControlMachine } from "../../state/mod.ts";
import type { Log } from "../../sys/log.ts";
import type { RpcStream } from "../../sys/rpc.ts";
import { logRejection } from "../../sys/unexpected_errors.ts";

type WatchUpdate = MessageInitShape<typeof ViewUpdateSchema>;

interface Watcher {
  readonly stream: RpcStream<WatchUpdate>;
  version: number;
  entriesVersion: number;
  isSending: boolean;
  /** Ends the stream with an error. */
  fail: (error: unknown) => void;
}

/** Sends each watcher the state that is newer than the versions it has. */
export class ViewWatchers {
  readonly #control: ControlMachine;
  readonly #log: Log;
  readonly #watchers = new Set<Watcher>();

  constructor(control: ControlMachine, log: Log) {
    this.#control = control;
    this.#log = log;
  }

  /** Serves a watcher until its stream closes or an update cannot be encoded. */
  serve(req: WatchRequest, stream: RpcStream<WatchUpdate>): Promise<void> {
    return new Promise((resolve, reject) => {
      const watcher: Watcher = {
        stream,
        version: Number(req.version),
        entriesVersion: Number(req.entriesVersion),
        isSending: false,
        fail: (error) => {
          this.#watchers.delete(watcher);
          reject(error);
        },
      };
      this.#watchers.add(watcher);
      stream.onClosed(() => {
        this.#watchers.delete(watcher);
        resolve();
      });
      this.#sendUpdate(watcher);
    });
  }

  /** Sends all watchers the state that is new to them. */
  notifyAll(): void {
    this.#watchers.forEach((watcher) => this.#sendUpdate(watcher));
  }

  /** Sends the state that is new to a watcher, one update at a time. */
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
    const sent = watcher.stream.send(update).then(() => {
      watcher.isSending = false;
      this.#sendUpdate(watcher);
    }, watcher.fail);
    logRejection(sent, this.#log, "update to a watcher");
  }
}
