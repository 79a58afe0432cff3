/** The serving side of remote procedure calls, on grpc-js. */
import * as grpc from "@grpc/grpc-js";
import { create, } from "@bufbuild/protobuf";
import { MessageCode } from "../schema/mod.js";
import { getReason, ServingError } from "./errors.js";
import { CHANNEL_OPTIONS, CODE_METADATA, createDefinition, VERDICT_METADATA, } from "./rpc_common.js";
function toStatus(error) {
    const metadata = new grpc.Metadata();
    if (error instanceof ServingError) {
        metadata.set(CODE_METADATA, String(error.code));
        metadata.set(VERDICT_METADATA, String(error.verdict));
    }
    return {
        code: error instanceof ServingError
            ? grpc.status.FAILED_PRECONDITION
            : grpc.status.INTERNAL,
        details: getReason(error),
        metadata,
    };
}
function getIdentity(call) {
    const context = call.getAuthContext?.();
    return context?.sslPeerCertificate?.subject?.CN ?? "";
}
/** A gRPC server on one address. */
export class RpcServer {
    #server = new grpc.Server(CHANNEL_OPTIONS);
    #credentials;
    constructor(credentials) {
        this.#credentials = credentials;
    }
    /** Serves all methods of a service. */
    addService(service, handlers) {
        const rows = service.methods.map((method) => {
            const handler = handlers[method.localName];
            return {
                name: method.name,
                definition: createDefinition(method),
                handler: createHandler(method, handler),
            };
        });
        const definitions = rows.map(({ name, definition }) => [name, definition]);
        const handlerRows = rows.map(({ name, handler }) => [name, handler]);
        this.#server.addService(Object.fromEntries(definitions), Object.fromEntries(handlerRows));
    }
    /** Listens on `address` and returns the real one. */
    listen(address) {
        return new Promise((resolve, reject) => {
            this.#server.bindAsync(address, this.#credentials.server, (error, port) => {
                if (error === null) {
                    const host = address.slice(0, address.lastIndexOf(":"));
                    resolve(`${host}:${port}`);
                    return;
                }
                reject(new ServingError(MessageCode.PORT_BUSY, {
                    parameters: { address, reason: error.message },
                }));
            });
        });
    }
    /** Ends at once. */
    close() {
        this.#server.forceShutdown();
    }
}
function createHandler(method, handler) {
    if (method.methodKind === "client_streaming") {
        return ((call, callback) => {
            const run = handler;
            run((on) => call.on("data", on));
            call.on("end", () => callback(null, create(method.output)));
            call.on("error", () => { });
        });
    }
    if (method.methodKind === "server_streaming") {
        return ((call) => {
            const stream = new ServerStream(call, method.output);
            const run = handler;
            Promise.resolve()
                .then(() => run(call.request, stream, { identity: getIdentity(call) }))
                .then(() => call.end(), (error) => call.emit("error", toStatus(error)));
        });
    }
    return ((call, callback) => {
        const run = handler;
        Promise.resolve()
            .then(() => run(call.request, { identity: getIdentity(call) }))
            .then((reply) => callback(null, create(method.output, reply)), (error) => callback(toStatus(error)));
    });
}
class ServerStream {
    #call;
    #output;
    #onClosed = new Set();
    closed = false;
    constructor(call, output) {
        this.#call = call;
        this.#output = output;
        call.on("cancelled", () => this.#close());
        call.on("close", () => this.#close());
        call.on("error", () => { });
    }
    onClosed(action) {
        this.#onClosed.add(action);
    }
    send(message) {
        if (this.closed)
            return Promise.resolve();
        const roomy = this.#call.write(create(this.#output, message));
        if (roomy)
            return Promise.resolve();
        return new Promise((resolve) => {
            const goOn = () => {
                this.#onClosed.delete(goOn);
                this.#call.off("drain", goOn);
                resolve();
            };
            this.#call.on("drain", goOn);
            this.#onClosed.add(goOn);
        });
    }
    #close() {
        if (this.closed)
            return;
        this.closed = true;
        [...this.#onClosed].forEach((action) => action());
    }
}
//# sourceMappingURL=rpc_server.js.map