/** Sends each watcher what is newer than what it has. */
export class ViewWatchers {
    #control;
    #watchers = new Set();
    constructor(control) {
        this.#control = control;
    }
    /** Serves one watcher until it leaves. */
    serve(req, stream) {
        const watcher = {
            stream,
            version: Number(req.version),
            entriesVersion: Number(req.entriesVersion),
            sending: false,
        };
        this.#watchers.add(watcher);
        this.#notify(watcher);
        return new Promise((resolve) => stream.onClosed(() => {
            this.#watchers.delete(watcher);
            resolve();
        }));
    }
    /** Tells all watchers what is new. */
    notifyAll() {
        this.#watchers.forEach((watcher) => this.#notify(watcher));
    }
    /** Sends what is newer than what the watcher has, one update at a time. */
    #notify(watcher) {
        const { configuration, entries, entriesVersion } = this.#control;
        const version = Number(configuration.version);
        const hasNews = version > watcher.version ||
            entriesVersion > watcher.entriesVersion;
        if (!hasNews || watcher.sending || watcher.stream.closed)
            return;
        const update = {
            configuration: version > watcher.version ? configuration : undefined,
            entries: entriesVersion > watcher.entriesVersion ? entries : [],
            entriesVersion: BigInt(entriesVersion),
        };
        watcher.version = version;
        watcher.entriesVersion = entriesVersion;
        watcher.sending = true;
        watcher.stream.send(update).then(() => {
            watcher.sending = false;
            this.#notify(watcher);
        });
    }
}
//# sourceMappingURL=view_watchers.js.map