/** Roles of a replica. */
export const Role = {
    follower: "follower",
    preCandidate: "pre-candidate",
    candidate: "candidate",
    leader: "leader",
};
//# sourceMappingURL=core_types.js.map