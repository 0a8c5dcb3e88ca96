package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** The deployment of {@link NestedCalls}, whose links go through relays that harm them, in series and at once. */
final class RelayedLinks extends NestedCalls {

    /** Links of a machine. */
    private enum Link {
        /** Other nodes to the node. */
        PEER(55) {
            @Override
            List<Relay> relays(Opening opening, Fleet.Machine machine) throws Exception {
                machine.advertisedIp = opening.ip(2);
                return List.of(
                        opening.relay(2, machine.inboundPort, address(machine.ip, machine.inboundPort)),
                        opening.relay(2, machine.internalPort, address(machine.ip, machine.internalPort)));
            }
        },
        /** Callers and the upstream to the node. */
        CALLER(12) {
            @Override
            List<Relay> relays(Opening opening, Fleet.Machine machine) throws Exception {
                Relay relay = opening.relay(3, machine.outboundPort, machine.callerAddress);
                machine.callerAddress = relay.address();
                return List.of(relay);
            }
        },
        /** The node to the upstream. */
        UPSTREAM(20) {
            @Override
            List<Relay> relays(Opening opening, Fleet.Machine machine) throws Exception {
                Relay relay = opening.relay(4, machine.appPort, machine.appAddress);
                machine.appAddress = relay.address();
                return List.of(relay);
            }
        },
        /** The node to the store. */
        STORE(13) {
            @Override
            List<Relay> relays(Opening opening, Fleet.Machine machine) throws Exception {
                String[] target = machine.storeAddress.split(":");
                Relay relay = opening.relay(5, 0, address(target[0], Integer.parseInt(target[1])));
                machine.storeAddress = Fleet.text(relay.address());
                return List.of(relay);
            }
        };

        private final int weight;

        Link(int weight) {
            this.weight = weight;
        }

        abstract List<Relay> relays(Opening opening, Fleet.Machine machine) throws Exception;

        static InetSocketAddress address(String host, int port) {
            return new InetSocketAddress(host, port);
        }
    }

    /** Opens the relays of a link of a machine. */
    private record Opening(RelayLoop loop, int number, long seed, Relay.Observer observer) {

        String ip(int network) {
            return "127.0." + network + "." + number;
        }

        Relay relay(int network, int port, InetSocketAddress target) throws Exception {
            return new Relay(loop, Link.address(ip(network), port), target, seed, observer);
        }
    }

    private static final int LOOPS = 4;
    private static final int MOST_RETRIES = 3;

    /** Time between two requests to a node that is not ready. */
    private static final int DOWN_MILLIS = 500;

    private final Set<Link> links = constants(Link.class, "LINKS");
    private final List<LinkFault> faults = List.copyOf(constants(LinkFault.class, "FAULTS"));
    private final Map<Link, Map<Fleet.Machine, List<Relay>>> relays = new EnumMap<>(Link.class);

    public static void main(String[] arguments) {
        run(arguments, new RelayedLinks());
    }

    private static <T extends Enum<T>> Set<T> constants(Class<T> type, String variable) {
        Set<T> chosen = EnumSet.noneOf(type);
        String names = System.getenv().getOrDefault(variable, "");
        if (names.isEmpty()) {
            return EnumSet.allOf(type);
        }
        Arrays.stream(names.split(",")).map(name -> Enum.valueOf(type, name)).forEach(chosen::add);
        return chosen;
    }

    @Override
    void addLinks() throws Exception {
        setting.bodiesRepeatId = true;
        setting.largePercent = number("LARGE_PERCENT", 10);
        setting.nestedTimeoutMillis = number("NESTED_TIMEOUT_MS", 1000);
        setting.closePercent = number("CLOSE_PERCENT", 3);
        setting.earlyPercent = number("EARLY_PERCENT", 60);
        List<RelayLoop> loops = new ArrayList<>();
        for (int number = 0; number < LOOPS; number++) {
            loops.add(new RelayLoop());
        }
        for (Link link : links) {
            Map<Fleet.Machine, List<Relay>> ofLink = new HashMap<>();
            relays.put(link, ofLink);
            for (int number = 1; number <= fleet.machines.size(); number++) {
                Fleet.Machine machine = fleet.machines.get(number - 1);
                RelayLoop loop = loops.get(number % LOOPS);
                Opening opening = new Opening(loop, number, seed * 1000 + number, what -> count(link, what));
                ofLink.put(machine, link.relays(opening, machine));
            }
        }
    }

    private void count(Link link, String what) {
        ledger.count(true, "LINKS " + link.name().toLowerCase(Locale.ROOT) + ": " + what);
    }

    @Override
    void disrupt(long start, Random random) throws InterruptedException {
        sleepUntil(start, 2000);
        while (System.nanoTime() - start < (seconds - 2) * 1_000_000_000L) {
            Thread.sleep(20 + random.nextInt(3000 / fleet.machines.size()));
            int drawn = random.nextInt(100);
            if (drawn < 85) {
                harm(random);
            } else if (drawn < 90) {
                hangUp(machine(random));
            } else if (drawn < 91) {
                restartSome(new Random(random.nextLong()));
            } else {
                start(random);
            }
        }
    }

    private Fleet.Machine machine(Random random) {
        return fleet.machines.get(random.nextInt(fleet.machines.size()));
    }

    /** Harms a link of a machine, or now and then that of some machines at once. */
    private void harm(Random random) {
        int drawn = random.nextInt(links.stream().mapToInt(link -> link.weight).sum());
        Link link = null;
        for (Link next : links) {
            link = link == null && drawn < next.weight ? next : link;
            drawn -= next.weight;
        }
        LinkFault fault = faults.get(random.nextInt(faults.size()));
        double share = 1.0 / (1 << random.nextInt(3));
        // Calls are resumed where connections between nodes are lost while the nodes go on.
        if (link == Link.PEER && random.nextInt(4) == 0 && faults.contains(LinkFault.RESET)) {
            fault = LinkFault.RESET;
            share = 1;
        }
        harm(link, fault, share, random);
    }

    private void harm(Link link, LinkFault fault, double share, Random random) {
        int millis = 50 + random.nextInt(2400);
        int count = random.nextInt(20) == 0 ? 1 + fleet.machines.size() / 4 : 1;
        for (int number = 0; number < count; number++) {
            Fleet.Machine machine = machine(random);
            if (trouble) {
                record.add("%s of %s links of %s for %d ms, share %.2f", fault, link, machine.name, millis, share);
                count(link, fault.name());
                relays.get(link).get(machine).forEach(relay -> relay.harm(fault, share, millis));
            }
        }
    }

    /** Lets a node read its settings again. */
    private void hangUp(Fleet.Machine machine) {
        if (!trouble) {
            return;
        }
        Fleet.daemon(() -> {
            // A process that has not installed its handler yet would end.
            synchronized (machine) {
                fleet.signal(machine, "HUP");
            }
        });
        ledger.count(true, "NODES SIGHUP");
    }

    /** Stops nodes one after another, by either signal, and starts them again. */
    private void restartSome(Random random) {
        List<Disruption> ways = new ArrayList<>(disruptions);
        ways.retainAll(List.of(Disruption.TERMINATE, Disruption.KILL));
        if (ways.isEmpty()) {
            return;
        }
        Fleet.daemon(() -> {
            for (int number = 0; number < 3; number++) {
                start(ways.get(random.nextInt(ways.size())), machine(random), random.nextLong());
                Thread.sleep(200 + random.nextInt(1500));
            }
        });
    }

    @Override
    void call(Fleet.Machine machine, Random random) throws Exception {
        Client client = null;
        String prefix = null;
        String id = null;
        int retries = 0;
        while (!ended) {
            prefix = retries == 0 ? prefix(random.nextInt(100)) : prefix;
            try {
                client = client == null ? new Client(machine) : client;
            } catch (IOException e) {
                Thread.sleep(50);
                continue;
            }
            if (retries > 0 && repeats && isIdempotent(prefix)) {
                ledger.noteRepeated(id);
            } else {
                id = nextId();
            }
            int drawn = random.nextInt(100);
            boolean closes = drawn < 3;
            client.extraFields = closes ? "Connection: close\r\n" : "";
            int size = random.nextInt(5) == 0 ? 60_000 + random.nextInt(200_000) : bodyBytes;
            int waitMillis = 20 + random.nextInt(500);
            if (drawn >= 95) {
                leaveOpen(client, prefix, id, size);
                client = null;
                Thread.sleep(waitMillis);
                continue;
            }
            client.patienceMillis = drawn >= 90 ? waitMillis - timeoutMillis : 3000;
            Client.Answer answer = exchange(client, prefix, id, size);
            boolean failed = answer.status() < 200 || answer.status() >= 500 || answer.status() == 429;
            retries = failed && drawn < 90 && retries < MOST_RETRIES && random.nextInt(10) < 6 ? retries + 1 : 0;
            boolean leaves = retries > 0 && !(repeats && isIdempotent(prefix));
            if (leaves || closes || hasEnded(answer)) {
                client.close();
                client = null;
            }
            if (answer.status() == 0 && !fleet.isReady(machine)) {
                Thread.sleep(DOWN_MILLIS);
            }
            if (retries == 0) {
                Thread.sleep(random.nextInt(thinkMillis));
            }
        }
    }

    private static boolean hasEnded(Client.Answer answer) {
        return answer.status() <= 0
                || "close".equalsIgnoreCase(answer.head().field("Connection"));
    }

    /** Goes on without the answer, whose connection stays open and is used once more when it has come. */
    private void leaveOpen(Client client, String prefix, String id, int size) {
        ledger.count(true, "requests given up on open connections");
        Fleet.daemon(() -> {
            try (client) {
                Client.Answer answer = exchange(client, prefix, id, size);
                if (!hasEnded(answer)) {
                    exchange(client, "/clip/", nextId(), 0);
                }
            }
        });
    }

    private static boolean isIdempotent(String prefix) {
        return !prefix.equals("/file/") && !prefix.equals("/deposit/");
    }

    private Client.Answer exchange(Client client, String prefix, String id, int size) throws IOException {
        boolean idempotent = isIdempotent(prefix);
        if (client.hasBytes()) {
            ledger.noteUnasked(client.machine.name);
        }
        Client.Answer answer = idempotent
                ? client.get(prefix + id, id, timeoutMillis)
                : client.send("POST", prefix + id, id, timeoutMillis, StutteringService.repeated(id, size), false);
        ledger.noteAnswer(client.machine.name, id, idempotent, answer);
        return answer;
    }

    @Override
    void requireTrouble() {
        super.requireTrouble();
        if (ledger.counted("LINES resumed call (2022)") == 0) {
            throw new IllegalStateException("no call was resumed");
        }
    }
}
