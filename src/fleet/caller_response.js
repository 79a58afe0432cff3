/** The HTTP response to a caller, which is either completed or aborted. */
import { FramedResponse, sendWhole, whenWritable, } from "../sys/framed_response.js";
/** A response to a caller in progress. */
export class CallerResponse {
    #res;
    #framed;
    #disconnected = new AbortController();
    constructor(res) {
        this.#res = res;
        this.#framed = new FramedResponse(res);
        res.on("close", () => {
            if (!res.writableFinished)
                this.#disconnected.abort();
        });
    }
    /** Aborted when the connection closes before the response is complete. */
    get disconnected() {
        return this.#disconnected.signal;
    }
    /** Whether the status and headers can't be changed any more. */
    get headSent() {
        return this.#framed.hasHead;
    }
    /** Sends status and headers; `headers` are alternating names and values. */
    sendHead(status, headers, options = {}) {
        this.#framed.sendHead(status, headers, options);
    }
    /**
     * Writes a chunk of the body. Resolves when the next chunk can be written
     * (backpressure), or when the connection has closed.
     */
    async write(bytes) {
        await this.push(bytes);
    }
    /**
     * Writes a chunk of the body. Returns true if the next one can be written at once,
     * and otherwise a promise of it.
     */
    push(bytes) {
        if (this.disconnected.aborted || this.#framed.write(bytes))
            return true;
        return whenWritable(this.#res).then(() => true);
    }
    end() {
        this.#framed.end();
    }
    /** Has the connection closed after the response, and the caller told so. */
    closeWhenSent() {
        if (!this.#res.headersSent)
            this.#res.shouldKeepAlive = false;
    }
    /** Closes the connection, so the caller can detect that data is missing. */
    abort() {
        this.#framed.abort();
    }
    /** Sends a response that was generated here rather than by a server. */
    sendLocal(response) {
        if (this.disconnected.aborted)
            return;
        sendWhole(this.#res, response.status, response.headers, response.body);
    }
}
//# sourceMappingURL=caller_response.js.map