/** Decodes requests of callers and encodes the responses generated here. */
export class CallerDialect {
}
/** Encodes metadata for backend servers and decodes theirs. */
export class BackendDialect {
}
//# sourceMappingURL=dialects.js.map