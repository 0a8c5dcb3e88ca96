package io.mustardusher.lab.cluster;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;

import io.mustardusher.ctl.MusherCtl;
import io.mustardusher.lab.standin.StoreFault;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

import static com.google.common.truth.Truth.assertThat;

class MusherCtlTest {

    private static final SmallCluster CLUSTER = new SmallCluster();

    @TempDir
    private Path folder;

    @BeforeAll
    static void start() {
        CLUSTER.start();
    }

    @AfterAll
    static void stop() {
        CLUSTER.close();
    }

    @Test
    void listsEntries() {
        Cluster.CommandResult result = CLUSTER.cluster.ctl("catalogue", "list");
        assertThat(result.exitCode()).isEqualTo(0);
        assertThat(result.output()).contains("ledger");
    }

    @Test
    void putsGetsAndRemovesEntry() throws IOException {
        String file = writeEntry("{ // new\n\"service\": \"vault\", \"owner\": \"o\", \"class\": \"background\"}");
        assertThat(CLUSTER.cluster.ctl("catalogue", "put", file).exitCode()).isEqualTo(0);
        SmallCluster.await(
                () -> CLUSTER.cluster.ctl("catalogue", "get", "vault").exitCode() == 0);
        assertThat(CLUSTER.cluster.ctl("catalogue", "remove", "vault").exitCode())
                .isEqualTo(0);
        SmallCluster.await(
                () -> CLUSTER.cluster.ctl("catalogue", "get", "vault").exitCode() == 1);
    }

    @Test
    void rejectsInvalidEntryBeforeContactingNodes() throws IOException {
        Cluster.CommandResult result = CLUSTER.cluster.ctl("catalogue", "put", writeEntry("{\"service\": \"Vault\"}"));
        assertThat(result.exitCode()).isEqualTo(1);
        assertThat(result.output()).contains("4001");
        assertThat(result.output()).contains("owner");
    }

    @Test
    void rejectsStaleRevisionAndReportsStoredValue() throws IOException {
        String file = writeEntry("{\"service\": \"ledger\", \"owner\": \"o\", \"class\": \"critical\"}");
        Cluster.CommandResult result = CLUSTER.cluster.ctl("catalogue", "put", file, "--if-revision", "0");
        assertThat(result.exitCode()).isEqualTo(1);
        assertThat(result.output()).contains("4002");
        assertThat(result.output()).contains("reads");
    }

    @Test
    void rejectsPutOfChangeThatStatusReportedAsUnknown() throws IOException {
        assertThat(CLUSTER.cluster.ctl("catalogue", "status", "change-unknown").output())
                .contains("4005");
        String file = writeEntry("{\"service\": \"other\", \"owner\": \"o\", \"class\": \"critical\"}");
        Cluster.CommandResult late = CLUSTER.cluster.ctl("catalogue", "put", file, "--change", "change-unknown");
        assertThat(late.exitCode()).isEqualTo(1);
        assertThat(late.output()).contains("4005");
    }

    @Test
    void resolvesOutcomeAfterLostCommitResponse() throws IOException {
        String file = writeEntry("{\"service\": \"lost\", \"owner\": \"o\", \"class\": \"critical\"}");
        CLUSTER.cluster.platform().setFault(StoreFault.LOSE_ANSWERS);
        Cluster.CommandResult result = CLUSTER.cluster.ctl("catalogue", "put", file, "--change", "change-lost");
        CLUSTER.cluster.platform().setFault(StoreFault.NONE);
        assertThat(result.exitCode()).isEqualTo(0);
        assertThat(CLUSTER.cluster.ctl("catalogue", "status", "change-lost").exitCode())
                .isEqualTo(0);
    }

    @Test
    void statusCountsNodesPerFailureDomain() {
        Cluster.CommandResult result = CLUSTER.cluster.ctl("catalogue", "status", "--output", "json");
        assertThat(result.output()).contains("\"r/a\"");
        assertThat(result.output()).contains("\"r/c\"");
    }

    @Test
    void explainsRoutingChoice() {
        assertThat(CLUSTER.cluster.ctl("explain", "ledger").output()).contains("mustardusher chooses ledger-");
        assertThat(CLUSTER.cluster.ctl("explain", "nothing").exitCode()).isEqualTo(1);
    }

    @Test
    void listsNodesAndServers() {
        assertThat(CLUSTER.cluster.ctl("nodes").output()).contains("alive");
        assertThat(CLUSTER.cluster.ctl("servers").output()).contains("ledger-3");
    }

    @Test
    void returnsDistinctExitCodeWhenNodeIsUnreachable() {
        CommandLine command = MusherCtl.commandLine();
        command.setErr(new PrintWriter(new StringWriter()));
        int exit = command.execute("nodes", "--node", "http://127.0.0.1:1", "--credential", "x");
        assertThat(exit).isEqualTo(4);
    }

    private String writeEntry(String entry) throws IOException {
        Path file = folder.resolve("entry.jsonc");
        Files.writeString(file, entry);
        return file.toString();
    }
}
