package org.lycheetray.daemon.admission;

import java.util.List;
import java.util.Optional;
import org.lycheetray.core.admission.LoanId;
import org.lycheetray.core.admission.LoanMessage;
import org.lycheetray.core.admission.RateShare;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.VmName;
import org.lycheetray.protocol.generated.Loan;
import org.lycheetray.protocol.generated.LoanAnswer;
import org.lycheetray.protocol.generated.LoanBatch;
import org.lycheetray.protocol.generated.LoanBody;
import org.lycheetray.protocol.generated.LoanExtend;
import org.lycheetray.protocol.generated.LoanExtended;
import org.lycheetray.protocol.generated.LoanRequest;
import org.lycheetray.protocol.generated.LoanReturn;

/** Converts between loan messages and their Thrift types. */
final class LoanCodec {
    private LoanCodec() {}

    static LoanBatch encode(List<LoanMessage> messages) {
        return new LoanBatch(messages.stream().map(LoanCodec::encode).toList());
    }

    private static Loan encode(LoanMessage m) {
        Incarnation borrower = m.id().borrower();
        org.lycheetray.protocol.generated.LoanId id =
                new org.lycheetray.protocol.generated.LoanId(borrower.vm().value(), borrower.number(), m.id().number());
        return new Loan(id, m.account().value(), body(m));
    }

    private static LoanBody body(LoanMessage message) {
        return switch (message) {
            case LoanMessage.Request m -> LoanBody.request(new LoanRequest(m.tokens(), m.rate(), m.urgent()));
            case LoanMessage.Answer m -> LoanBody.answer(answer(m));
            case LoanMessage.Extend m -> LoanBody.extend(new LoanExtend(m.number()));
            case LoanMessage.Extended m -> LoanBody.extended(new LoanExtended(m.number()));
            case LoanMessage.Return m -> LoanBody.giveBack(new LoanReturn(m.tokens()));
        };
    }

    private static LoanAnswer answer(LoanMessage.Answer m) {
        LoanAnswer a = new LoanAnswer(m.share().rate(), m.share().burst(), m.tokens(), m.spare());
        m.largestBorrower().ifPresent(v -> a.setLargestBorrower(v.value()));
        return a;
    }

    /**
     * Converts a Thrift type to a loan message.
     *
     * @throws IllegalArgumentException if a name is malformed, an amount is negative or a field is missing
     */
    static LoanMessage decode(Loan loan) {
        if (loan.getId() == null || loan.getBody() == null || !loan.getBody().isSet()) {
            throw new IllegalArgumentException("loan message without id or body");
        }
        Incarnation borrower =
                new Incarnation(new VmName(loan.getId().getVm()), loan.getId().getIncarnation());
        LoanId id = new LoanId(borrower, loan.getId().getNumber());
        ClientAccountName account = new ClientAccountName(loan.getAccount());
        LoanBody b = loan.getBody();
        return switch (b.getSetField()) {
            case REQUEST -> request(id, account, b.getRequest());
            case ANSWER -> answer(id, account, b.getAnswer());
            case EXTEND -> new LoanMessage.Extend(id, account, b.getExtend().getNumber());
            case EXTENDED ->
                new LoanMessage.Extended(id, account, b.getExtended().getNumber());
            case GIVE_BACK ->
                new LoanMessage.Return(id, account, checkAmount(b.getGiveBack().getTokens()));
        };
    }

    private static LoanMessage request(LoanId id, ClientAccountName account, LoanRequest r) {
        return new LoanMessage.Request(id, account, checkAmount(r.getTokens()), checkAmount(r.getRate()), r.isUrgent());
    }

    private static LoanMessage answer(LoanId id, ClientAccountName account, LoanAnswer a) {
        RateShare share = new RateShare(checkAmount(a.getRate()), checkAmount(a.getBurst()));
        Optional<VmName> borrower = Optional.ofNullable(a.getLargestBorrower()).map(VmName::new);
        return new LoanMessage.Answer(id, account, share, checkAmount(a.getTokens()), a.getSpare(), borrower);
    }

    private static long checkAmount(long value) {
        if (value < 0) {
            throw new IllegalArgumentException("negative amount in loan message: " + value);
        }
        return value;
    }
}
