package io.mustardusher.schema;

import io.mustardusher.generated.EntryDocument;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class SchemaTest {

    @Test
    void commentsAreAllowed() {
        EntryDocument entry = Schema.ENTRY.read(
                "{ // a clip server\n\"service\": \"clips\", \"owner\": \"o\", \"class\": \"standard\"}");
        assertThat(entry.getDeadlineMillis()).isEqualTo(2000);
    }

    @Test
    void unknownFieldIsRefusedByName() {
        MustardusherException refusal = assertThrows(
                MustardusherException.class,
                () -> Schema.ENTRY.read(
                        "{\"service\": \"clips\", \"owner\": \"o\", \"class\": \"standard\", \"colour\": 1}"));
        assertThat(refusal.code()).isEqualTo(ResultCode.ENTRY_INVALID);
        assertThat(refusal).hasMessageThat().contains("colour");
    }

    @Test
    void everyFaultIsNamed() {
        MustardusherException refusal = assertThrows(
                MustardusherException.class,
                () -> Schema.ENTRY.read("{\"service\": \"Clips!\", \"class\": \"urgent\"}"));
        assertThat(refusal).hasMessageThat().contains("service");
        assertThat(refusal).hasMessageThat().contains("class");
        assertThat(refusal).hasMessageThat().contains("owner");
    }

    @Test
    void repeatedKeyIsRefused() {
        assertThrows(
                MustardusherException.class,
                () -> Schema.ENTRY.read(
                        "{\"service\": \"a\", \"service\": \"b\", \"owner\": \"o\", \"class\": \"standard\"}"));
    }
}
