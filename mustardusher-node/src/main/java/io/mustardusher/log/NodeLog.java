package io.mustardusher.log;

import java.lang.invoke.MethodHandles;

import org.jboss.logging.BasicLogger;
import org.jboss.logging.Logger;
import org.jboss.logging.annotations.LogMessage;
import org.jboss.logging.annotations.Message;
import org.jboss.logging.annotations.MessageLogger;

/** The numbered log events of a node. */
@MessageLogger(projectCode = "MUSH", length = 4)
public interface NodeLog extends BasicLogger {

    /** Name of the logger for events of the node, its members and its catalogue. */
    String NODE_LOGGER = "io.mustardusher.node";

    /** Name of the logger for routing and admission decisions. */
    String DECISION_LOGGER = "io.mustardusher.decision";

    /** Logger for events of the node, its members and its catalogue. */
    NodeLog LOG = Logger.getMessageLogger(MethodHandles.lookup(), NodeLog.class, NODE_LOGGER);

    /** Logger for routing and admission decisions. */
    NodeLog DECISIONS = Logger.getMessageLogger(MethodHandles.lookup(), NodeLog.class, DECISION_LOGGER);

    /**
     * The node has started and accepts calls.
     *
     * @param node   id of the node
     * @param domain failure domain of the node
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1001, value = "node %s in failure domain %s started")
    void started(String node, String domain);

    /**
     * The node has begun a graceful shutdown.
     *
     * @param node     id of the node
     * @param inFlight number of calls in flight
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1002, value = "node %s is stopping; %d calls in flight")
    void stopping(String node, int inFlight);

    /**
     * The node has stopped.
     *
     * @param node   id of the node
     * @param cutOff number of calls that were cut off
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1003, value = "node %s stopped; %d calls cut off")
    void stopped(String node, int cutOff);

    /**
     * A connection from another node was closed because of a fault.
     *
     * @param cause the fault
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1004, value = "frame connection closed: %s")
    void frameConnectionClosed(String cause);

    /**
     * A request to the table service failed.
     *
     * @param operation the operation that sent the request
     * @param cause     the failure
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1005, value = "table service request failed (%s): %s")
    void storeFailed(String operation, String cause);

    /**
     * A listener rejected a request whose head it could not read.
     *
     * @param status HTTP status of the response
     * @param cause  the fault
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1007, value = "request rejected with status %d: %s")
    void requestRejected(int status, String cause);

    /**
     * Events were not written. The line follows as soon as there is room again.
     *
     * @param dropped number of events since the last such line
     * @param cause   why the last of them was dropped
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1008, value = "%d log events dropped: %s")
    void eventsDropped(long dropped, String cause);

    /**
     * A connection to another node carried no more bytes while the node answered on another one, and was given up.
     *
     * @param address     address of the node
     * @param millis      time for which nothing arrived, in milliseconds
     * @param outstanding number of requests without a reply on the connection
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1131, value = "connection to %s silent for %d ms; %d requests outstanding")
    void connectionSilent(String address, long millis, int outstanding);

    /**
     * The bytes of a response break the grammar of HTTP/1.1. Its connection is closed, and the request that awaits a
     * response on it, if one does, ends without one.
     *
     * @param sender sender of the response
     * @param fault  how they break it
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1133, value = "malformed response of %s: %s")
    void responseMalformed(String sender, String fault);

    /** A newer configuration came from a peer while the watch of the table service waited, so that it starts anew. */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1132, value = "watch of the table service renewed, since a peer had a newer version")
    void watchRenewed();

    /**
     * The state of a member changed.
     *
     * @param member id of the member
     * @param state  its new state
     * @param detail its service and incarnation
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1101, value = "member %s is %s (%s)")
    void memberChanged(String member, String state, String detail);

    /**
     * A backend server announced itself.
     *
     * @param service service of the server
     * @param address address of the server
     * @param state   announced state
     * @param slots   announced number of slots
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1102, value = "backend server of %s at %s announced state %s with %d slots")
    void serverAnnounced(String service, String address, String state, long slots);

    /**
     * A backend server crashed.
     *
     * @param crash    id of the crash
     * @param suspects number of calls that were in flight
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1103, value = "backend server crashed (crash %d) with %d calls in flight")
    void serverCrashed(long crash, int suspects);

    /**
     * An order to evacuate a failure domain came into force at this node.
     *
     * @param domain  name of the failure domain
     * @param servers number of known backend servers in it, which receive no more calls
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1110, value = "failure domain %s is evacuated; %d backend servers receive no calls")
    void domainEvacuated(String domain, long servers);

    /**
     * An order to evacuate a failure domain ended at this node.
     *
     * @param domain  name of the failure domain
     * @param servers number of known backend servers in it, which receive calls again
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1111, value = "failure domain %s is no longer evacuated; %d backend servers receive calls again")
    void domainReturned(String domain, long servers);

    /**
     * An order names a failure domain of which this node knows no member.
     *
     * @param domain name of the failure domain
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1112, value = "evacuation order for unknown failure domain %s")
    void unknownDomainEvacuated(String domain);

    /**
     * The backend server beside the node is cold, so that calls to it are paced.
     *
     * @param instance identifier of the server instance
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1113, value = "backend server %s is cold; calls are paced")
    void serverCold(String instance);

    /**
     * The backend server beside the node is no longer cold.
     *
     * @param instance identifier of the server instance
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1114, value = "backend server %s is warm")
    void serverWarm(String instance);

    /**
     * A row of the table service was skipped because its value cannot be read.
     *
     * @param key   key of the row
     * @param cause the fault
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1115, value = "row %s of the table service skipped: %s")
    void rowUnreadable(String key, String cause);

    /**
     * A member record from another node was skipped because it cannot be used.
     *
     * @param member id of the member, or {@code null}
     * @param cause  the fault
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1116, value = "record of member %s skipped: %s")
    void memberRejected(String member, String cause);

    /**
     * A catalogue revision came into force at this node.
     *
     * @param revision the revision
     * @param from     source of the revision
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1201, value = "catalogue revision %d in force, from %s")
    void catalogueInForce(long revision, String from);

    /**
     * A change of a catalogue entry was accepted.
     *
     * @param change   id of the change
     * @param service  service of the entry
     * @param revision revision that the change created
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1202, value = "change %s of %s accepted as revision %d")
    void changeAccepted(String change, String service, long revision);

    /**
     * A change of a catalogue entry was refused.
     *
     * @param change  id of the change
     * @param service service of the entry
     * @param code    number of the result code
     * @param detail  reason for the refusal
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1203, value = "change %s of %s refused with %d: %s")
    void changeRefused(String change, String service, int code, String detail);

    /**
     * A version of the routes came into force at this node.
     *
     * @param version the version
     * @param routes  number of routes
     * @param from    source of the version
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1204, value = "routes version %d in force with %d routes, from %s")
    void routesInForce(long version, int routes, String from);

    /**
     * A version of the routes, or a single route in it, could not be parsed. If it is the version, the previous one
     * stays in force; if it is a route, the others of the version apply, and its requests are rejected.
     *
     * @param version the version
     * @param cause   the fault
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1205, value = "routes version %d has errors: %s")
    void routesInvalid(long version, String cause);

    /**
     * A version of the routes that came into force has removed keys of client accounts.
     *
     * @param version the version
     * @param keys    number of keys removed
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1206, value = "routes version %d revokes %d keys of client accounts")
    void keysRevoked(long version, int keys);

    /**
     * The routes in force were proved to be the newest a short time ago, so that keys of accounts are accepted.
     *
     * @param version version of the routes in force
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1207, value = "routes version %d is proved to be recent; keys of client accounts are accepted")
    void freshnessProven(long version);

    /**
     * It is too long ago that the routes in force were known to be the newest, so that keys of accounts are refused.
     *
     * @param version   version of the routes in force
     * @param ageMillis time since they were known to be the newest, in milliseconds; -1 if they never were
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1208, value = "routes version %d may be out of date after %d ms; keys of client accounts are refused")
    void freshnessExpired(long version, long ageMillis);

    /**
     * The keepers of a service changed.
     *
     * @param service the service
     * @param epoch   epoch of the new keepers
     * @param keepers names of the new keepers
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1301, value = "keepers of %s in epoch %d: %s")
    void keepersChanged(String service, long epoch, String keepers);

    /**
     * The gate began or ceased to refuse the calls of a route because their nested calls would be refused.
     *
     * @param route    name of the route
     * @param refusing whether the calls are refused
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1121, value = "calls of %s are refused ahead of their nested calls: %s")
    void rootsRefused(String route, boolean refusing);

    /**
     * The servers of a service began or ceased to refuse calls as a whole.
     *
     * @param service  name of the service
     * @param refuses  whether the service refuses calls
     * @param refusing number of servers that refused calls within the last second
     * @param used     number of servers that this node used within the last second
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1122, value = "service %s refuses calls: %s; at %d of %d servers within the last second")
    void serviceRefuses(String service, boolean refuses, int refusing, int used);

    /**
     * A call was routed to a backend server.
     *
     * @param call       identifier of the call
     * @param service    called service
     * @param node       node beside the chosen backend server
     * @param policy     routing policy
     * @param attempt    number of the attempt
     * @param micros     estimated time until the answer, in microseconds
     * @param candidates number of servers to choose from
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 2001, value = "call %s: route %s to %s by %s, attempt %d, estimate %d us, of %d")
    void routed(String call, String service, String node, String policy, int attempt, long micros, int candidates);

    /**
     * A call ended without an answer from a backend server.
     *
     * @param call    identifier of the call
     * @param service called service
     * @param code    number of the result code
     * @param attempt number of the last attempt
     * @param detail  description of the failure
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 2002, value = "call %s: no answer from %s, code %d after attempt %d: %s")
    void callFailed(String call, String service, int code, int attempt, String detail);

    /**
     * An entry rejected a call because of a fault of its request.
     *
     * @param call   identifier of the call
     * @param code   number of the result code
     * @param method method of the request
     * @param host   authority of the request
     * @param path   path of the request
     * @param detail description of the fault
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 2007, value = "call %s: rejected with code %d, %s %s%s: %s")
    void callRejected(String call, int code, String method, String host, String path, String detail);

    /**
     * A call has ended at its entry.
     *
     * @param call     identifier of the call
     * @param kind     whether the call may run more than once
     * @param service  called service
     * @param attempts nodes to which the call was sent, with result and duration
     * @param given    status of the response for the caller
     * @param micros   time since the call arrived, in microseconds
     * @param source   where the response comes from
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 2008, value = "call %s: %s to %s; sent to %s; caller got %s after %d us, from %s")
    void callEnded(String call, String kind, String service, String attempts, String given, long micros, String source);

    /**
     * The gate refused a call.
     *
     * @param call    identifier of the call
     * @param service called service
     * @param code    number of the result code
     * @param busy    number of calls at the backend server
     * @param queued  number of calls in the queue
     * @param limit   maximum number of calls at the backend server
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 2003, value = "call %s: gate of %s refuses with %d; busy %d, queued %d, limit %d")
    void gateRefused(String call, String service, int code, int busy, int queued, int limit);

    /**
     * A call was sent to the backend server, but no answer arrived.
     *
     * @param call    identifier of the call
     * @param service called service
     * @param code    number of the result code
     * @param millis  time since the call was sent, in milliseconds
     * @param detail  description of the failure
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 2006, value = "call %s: server of %s gave no answer, code %d after %d ms: %s")
    void dispatchFailed(String call, String service, int code, long millis, String detail);

    /**
     * Another node coordinates a group of accounts.
     *
     * @param group       number of the group
     * @param coordinator the coordinator
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1401, value = "allowances of group %d are coordinated by %s")
    void coordinatorChanged(int group, String coordinator);

    /**
     * Calls of an account exceeded its limit.
     *
     * @param account       name of the account
     * @param ratePerSecond limit of the account, in calls per second over all nodes
     * @param burst         calls that may be served in addition
     * @param refused       number of calls refused since the last report
     * @param granted       number of calls admitted since the last report
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1402, value = "account %s exceeded its limit of %s calls/s, burst %s: %d calls refused, %d admitted")
    void accountLimited(String account, double ratePerSecond, double burst, long refused, long granted);

    /**
     * It could not be determined whether calls were within the limit of their account.
     *
     * @param account    name of the account
     * @param unanswered number of calls refused since the last report
     * @param coordinator coordinator of the account
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1403, value = "allowance of account %s unknown: %d calls refused, coordinator %s")
    void allowanceUnknown(String account, long unanswered, String coordinator);

    /**
     * The settings were reloaded, or could not be.
     *
     * @param outcome result of the reload
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1006, value = "settings reload: %s")
    void settingsReloaded(String outcome);

    /**
     * An announcement of a backend server was rejected because it is malformed.
     *
     * @param instance instance that the announcement names as its sender
     * @param text     body of the announcement
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1104, value = "announcement from %s rejected: %s")
    void announcementRejected(String instance, String text);

    /**
     * The departure of a backend server could not be stored, so that it was not confirmed.
     *
     * @param instance identifier of the server instance
     */
    @LogMessage(level = Logger.Level.WARN)
    @Message(id = 1106, value = "departure of backend server %s is not stored and not confirmed")
    void departureNotStored(String instance);

    /**
     * A node that has started knows from an earlier process that a backend server is leaving.
     *
     * @param instance identifier of the server instance
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1107, value = "backend server %s is leaving, as stated to an earlier process of this node")
    void departureRestored(String instance);

    /**
     * A backend server stated new conditions in an answer.
     *
     * @param instance          identifier of the server instance
     * @param maxCallsPerSecond maximum rate of calls from all nodes together; infinite if there is none
     * @param leaving           whether the server is about to end
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 1105, value = "backend server %s accepts up to %s calls per second, leaving %s")
    void serverStatedConditions(String instance, double maxCallsPerSecond, boolean leaving);

    /**
     * A backend server answered a call.
     *
     * @param call    identifier of the call
     * @param server  node beside the server
     * @param status  HTTP status of the answer
     * @param attempt number of the attempt
     * @param micros  time since the call arrived, in microseconds
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 2005, value = "call %s: %s answers %d after attempt %d, %d us")
    void answered(String call, String server, int status, int attempt, long micros);

    /**
     * A call with an idempotency key was routed to the home of the key.
     *
     * @param service called service
     * @param home    node that is the home of the key
     * @param epoch   epoch of the keepers
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 2004, value = "call of %s with a key routed to home %s in epoch %d")
    void routedToHome(String service, String home, long epoch);

    /**
     * A call was recognised as a nested call of a request at the backend server beside the node.
     *
     * @param call    identifier of the call
     * @param service called service
     * @param parent  route of the request that made the call
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 2021, value = "call %s: nested call to %s by a request of %s")
    void nestedCall(String call, String service, String parent);

    /**
     * The gate told over another connection what became of a call whose connection was lost.
     *
     * @param address address of the gate's node
     * @param found   whether the gate had received the call
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 2022, value = "call resumed over another connection to %s: %s")
    void callResumed(String address, String found);

    /**
     * A large response has arrived whole from the gate of another node, in parts.
     *
     * @param address address of the gate's node
     * @param bytes   size of the response, in bytes
     * @param millis  time from its first part to its last, in milliseconds
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 2023, value = "response from %s streamed: %d bytes in %d ms")
    void responseStreamed(String address, int bytes, long millis);

    /**
     * A call is sent to the backend server again, while a connection is open that has carried it before.
     *
     * @param call identifier of the call
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 2024, value = "call %s: sent to the same backend server again")
    void requestRepeated(String call);

    /**
     * A response of the backend server was discarded, because it is not the one that is due on its connection.
     *
     * @param received   identifier of the call to which it belongs, {@code -} if it names none
     * @param status     status of the response
     * @param connection number of the connection, as in the line about the call's end
     * @param awaited    identifier of the call that awaits one on the connection, {@code -} if none or a probe does
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 2025, value = "call %s: response with status %d discarded on connection %d, awaiting call %s")
    void responseDiscarded(String received, int status, int connection, String awaited);

    /**
     * A call is sent to the backend server although an earlier run of it has not ended there.
     *
     * @param call identifier of the call
     */
    @LogMessage(level = Logger.Level.INFO)
    @Message(id = 2026, value = "call %s: sent to the backend server while an earlier run has not ended")
    void runOverlaps(String call);
}
