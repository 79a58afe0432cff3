/** The calling side of remote procedure calls, on grpc-js. */
import * as grpc from "@grpc/grpc-js";
import { create, } from "@bufbuild/protobuf";
import { MessageCode, Verdict } from "../schema/mod.js";
import { ServingError } from "./errors.js";
import { CHANNEL_OPTIONS, CODE_METADATA, createDefinition, VERDICT_METADATA, } from "./rpc_common.js";
/** An error of the remote process, with its code and verdict. */
class RemoteError extends ServingError {
    constructor(code, verdict, text) {
        super(code, { verdict });
        this.message = text;
    }
}
/** The failure of a call as an error with code and verdict. */
function fromStatus(error) {
    const code = Number(error.metadata?.get(CODE_METADATA)[0] ?? 0);
    const verdict = Number(error.metadata?.get(VERDICT_METADATA)[0] ?? 0);
    if (code !== 0)
        return new RemoteError(code, verdict, error.details);
    return new ServingError(MessageCode.STATE_UNREACHABLE, {
        verdict: Verdict.MAY_HAVE_RUN,
        parameters: { reason: error.details || error.message },
        cause: error,
    });
}
const DEFAULT_CALL_TIMEOUT_MS = 5_000;
/** A connection to one process. */
export class RpcClient {
    #client;
    #isCut;
    address;
    constructor(address, credentials) {
        this.address = address;
        this.#isCut = () => credentials.isCut(address);
        this.#client = new grpc.Client(address, credentials.client, CHANNEL_OPTIONS);
    }
    /**
     * Calls a method once. A failure without an answer is STATE_UNREACHABLE with
     * the verdict that the call may have run.
     */
    call(method, req, options = {}) {
        const definition = createDefinition(method);
        const timeoutMs = options.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
        if (this.#isCut())
            return rejectAfter(timeoutMs);
        return new Promise((resolve, reject) => {
            this.#client.makeUnaryRequest(definition.path, definition.requestSerialize, definition.responseDeserialize, create(method.input, req), new grpc.Metadata(), { deadline: new Date(Date.now() + timeoutMs) }, (error, reply) => {
                if (error !== null)
                    reject(fromStatus(error));
                else
                    resolve(reply);
            });
        });
    }
    /** Calls a method that answers with a stream. */
    openStream(method, req, on) {
        const definition = createDefinition(method);
        const call = this.#client.makeServerStreamRequest(definition.path, definition.requestSerialize, definition.responseDeserialize, create(method.input, req), new grpc.Metadata());
        call.on("data", (message) => {
            if (!this.#isCut())
                on.message(message);
        });
        call.on("error", (error) => on.end(fromStatus(error)));
        call.on("end", () => on.end());
        return call;
    }
    /** Opens a stream of messages to the remote process. */
    openSender(method, onEnd) {
        const definition = createDefinition(method);
        const call = this.#client.makeClientStreamRequest(definition.path, definition.requestSerialize, definition.responseDeserialize, new grpc.Metadata(), { deadline: Infinity }, () => onEnd());
        let full = false;
        call.on("error", onEnd);
        call.on("drain", () => {
            full = false;
        });
        return {
            get isFull() {
                return full;
            },
            send: (message) => {
                if (this.#isCut())
                    return;
                full = !call.write(create(method.input, message));
            },
            close: () => call.cancel(),
        };
    }
    close() {
        this.#client.close();
    }
}
/** What a caller sees when messages vanish: nothing until its time is over. */
function rejectAfter(timeoutMs) {
    return new Promise((_, reject) => setTimeout(() => reject(new ServingError(MessageCode.STATE_UNREACHABLE, {
        verdict: Verdict.MAY_HAVE_RUN,
        parameters: { reason: "no answer in time" },
    })), timeoutMs));
}
/** Connections of one process by address, opened when first used. */
export class RpcClients {
    #credentials;
    #clients = new Map();
    constructor(credentials) {
        this.#credentials = credentials;
    }
    get(address) {
        const known = this.#clients.get(address);
        if (known !== undefined)
            return known;
        const client = new RpcClient(address, this.#credentials);
        this.#clients.set(address, client);
        return client;
    }
    close() {
        this.#clients.forEach((client) => client.close());
        this.#clients.clear();
    }
}
//# sourceMappingURL=rpc_client.js.map