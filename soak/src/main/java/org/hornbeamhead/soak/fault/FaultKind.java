package org.hornbeamhead.soak.fault;

/** What may happen in a run. */
public enum FaultKind {
    /** A router is killed and started again. */
    ROUTER_KILLED(Target.ROUTER, false),
    /** The router that gave the latest order is killed and started again. */
    LEADER_KILLED(Target.LEADER, false),
    /** A router stands still and goes on. */
    ROUTER_FROZEN(Target.ROUTER, false),
    /** A router is told to stop, ends, and is started again. */
    ROUTER_STOPPED(Target.ROUTER, true),
    /** A router is told that its settings may have changed. */
    ROUTER_TOLD(Target.ROUTER, true),
    /** All routers are killed at once and started again. */
    ALL_KILLED(Target.ALL_ROUTERS, false),
    /** The store answers everybody that it is busy. */
    STORE_BUSY(Target.STORE, false),
    /** The store answers nobody. */
    STORE_SILENT(Target.STORE, false),
    /** The store does what it is told and does not answer. */
    STORE_LOSES_ANSWERS(Target.STORE, false),
    /** The store executes writes seconds later and does not answer them. */
    STORE_WRITES_LATE(Target.STORE_WRITES, false),
    /** One router's connections to the store are silent; new ones too. */
    STORE_LINK_SILENT(Target.STORE_LINK, false),
    /** One router's connections to the store are reset. */
    STORE_LINK_RESET(Target.STORE_LINK, false),
    /** What the store answers one router does not arrive, though what it is asked does. */
    STORE_LINK_ONE_WAY(Target.STORE_LINK, false),
    /** One router's connections to the store and to the other routers are silent, and its datagrams are lost. */
    ROUTER_CUT_OFF(Target.PEER_LINKS, false),
    /** One router's connections to all replicas are reset, and new ones are refused. */
    PATH_REFUSED(Target.PATH, false),
    /** One router's connections to all replicas live on, and new ones are refused. */
    PATH_CLOSED(Target.PATH, false),
    /** One router's connections to all replicas are silent, and new ones do not open. */
    PATH_HANGS(Target.PATH, false),
    /** What replicas answer one router does not arrive, though what they are asked does. */
    PATH_ONE_WAY(Target.PATH, false),
    /** A replica's connections are silent. */
    REPLICA_SILENT(Target.REPLICA, false),
    /** A replica's connections are reset. */
    REPLICA_RESET(Target.REPLICA, false),
    /** What goes to and from a replica takes longer. */
    REPLICA_DELAYED(Target.REPLICA, false),
    /** A replica works on requests and loses answers, refuses, breaks off, or answers twice. */
    REPLICA_GREY(Target.REPLICA, false),
    /** A sound replica stands still for up to two seconds and goes on; nothing may be cut. */
    REPLICA_FROZEN(Target.FROZEN_REPLICA, true),
    /** A replica leaves, and another comes. */
    REPLICA_LEAVES(Target.REPLICA, true),
    /** Engines of the next software version join, and those of the version before leave. */
    RELEASE(Target.ENGINES, true),
    /** A key is taken away. */
    KEY_REVOKED(Target.OPERATORS, true),
    /** A route leads to another service. */
    ROUTE_MOVED(Target.OPERATORS, true),
    /** New weights are named. */
    WEIGHTS_NAMED(Target.OPERATORS, true);

    /** What a fault strikes. */
    public enum Target {
        /** One router. */
        ROUTER,
        /** The router that gave the latest order to an engine. */
        LEADER,
        /** All routers. */
        ALL_ROUTERS,
        /** The platform's store. */
        STORE,
        /** What routers write to the store. */
        STORE_WRITES,
        /** The way of one router to the store. */
        STORE_LINK,
        /** The ways of one router to the store and to all other routers. */
        PEER_LINKS,
        /** The way of one router to all replicas. */
        PATH,
        /** One replica. */
        REPLICA,
        /** One replica, which is sound. */
        FROZEN_REPLICA,
        /** All engines. */
        ENGINES,
        /** Nothing: operators change something. */
        OPERATORS
    }

    private final Target target;
    private final boolean planned;

    FaultKind(Target target, boolean planned) {
        this.target = target;
        this.planned = planned;
    }

    /**
     * Tells what it strikes.
     *
     * @return the target
     */
    public Target target() {
        return target;
    }

    /**
     * Tells whether it is planned work, or as harmless: nothing may be cut by it.
     *
     * @return whether it is
     */
    public boolean planned() {
        return planned;
    }
}
