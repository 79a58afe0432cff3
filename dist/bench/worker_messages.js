export {};
//# sourceMappingURL=worker_messages.js.map