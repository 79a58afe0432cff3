/** A placement as the pool keeps it. */
export class ActivePlacement {
    #abort = new AbortController();
    #onRelease;
    server;
    incarnation;
    isBatch;
    isProbe;
    #released = false;
    gaveWay = false;
    constructor(options) {
        this.server = options.server;
        this.incarnation = options.server.announcement.incarnation;
        this.isBatch = options.isBatch;
        this.isProbe = options.isProbe;
        this.#onRelease = options.onRelease;
    }
    get signal() {
        return this.#abort.signal;
    }
    end(gaveWay) {
        this.gaveWay ||= gaveWay;
        this.#abort.abort();
    }
    release(end) {
        if (this.#released)
            return;
        this.#released = true;
        this.#onRelease(this, end);
    }
}
//# sourceMappingURL=placement.js.map