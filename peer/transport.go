package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"
)

type (
	// Network sends requests to peers.
	Network interface {
		// Call sends a request to a peer's address and returns its response.
		Call(ctx context.Context, address string, request *wire.PeerRequest) (*wire.PeerResponse, error)
	}

	// Handler returns the response to a peer's request.
	Handler func(ctx context.Context, request *wire.PeerRequest) *wire.PeerResponse

	// TransportConfig configures a Transport.
	TransportConfig struct {
		// Address is the IP:port to serve and to dial from.
		Address string
		TLS     *tls.Config
		Log     hclog.Logger
		// CloseIdle lets idle connections time out. Without it, keep-alives hold them
		// open.
		CloseIdle bool
	}

	// Transport is a Network over QUIC with mutual TLS. It uses one stream per
	// request and one connection per peer address.
	Transport struct {
		config   TransportConfig
		quic     *quic.Transport
		listener *quic.Listener

		mu    sync.Mutex
		conns map[string]*quic.Conn
		// runningForwards counts the forwarded requests that run here for peers.
		// lastResponseAt is when the last of their responses was sent.
		runningForwards int
		lastResponseAt  time.Time
	}
)

const (
	maxMessageBytes    = 16 << 20
	handshakeTimeout   = time.Second
	idleTimeout        = 10 * time.Second
	keepAlivePeriod    = 2 * time.Second
	maxIncomingStreams = 10_000
	// responseDeliveryTime is how long a response may take to arrive, including
	// retransmissions of lost packets.
	responseDeliveryTime = 300 * time.Millisecond
	drainCheckInterval   = 10 * time.Millisecond

	closeReplaced       quic.ApplicationErrorCode = 1
	closeStopping       quic.ApplicationErrorCode = 2
	closeBadCertificate quic.ApplicationErrorCode = 3
)

// NewTransport starts to listen on the peer address.
func NewTransport(config TransportConfig) (*Transport, error) {
	address, err := net.ResolveUDPAddr("udp", config.Address)
	if err != nil {
		return nil, ErrListen.Wrap(err, "reading peer address %s", config.Address)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, ErrListen.Wrap(err, "opening peer address %s", config.Address)
	}
	t := &Transport{
		config: config,
		quic:   &quic.Transport{Conn: conn},
		conns:  make(map[string]*quic.Conn),
	}
	t.listener, err = t.quic.Listen(config.TLS, config.quic())
	if err != nil {
		return nil, ErrListen.Wrap(err, "listening on peer address %s", config.Address)
	}
	return t, nil
}

func (c TransportConfig) quic() *quic.Config {
	q := &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		MaxIncomingStreams:   maxIncomingStreams,
	}
	if !c.CloseIdle {
		q.KeepAlivePeriod = keepAlivePeriod
	}
	return q
}

// Serve handles the requests of peers until the context ends.
func (t *Transport) Serve(ctx context.Context, handle Handler) {
	for {
		conn, err := t.listener.Accept(ctx)
		if err != nil {
			return
		}
		if err := verifyPeerAddress(conn.ConnectionState().TLS, conn.RemoteAddr()); err != nil {
			t.config.Log.Warn("rejected a peer connection", "error", err)
			_ = conn.CloseWithError(closeBadCertificate, "certificate does not name this address")
			continue
		}
		go t.serveConn(ctx, conn, handle)
	}
}

func (t *Transport) serveConn(ctx context.Context, conn *quic.Conn, handle Handler) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go t.serveStream(ctx, stream, handle)
	}
}

func (t *Transport) serveStream(ctx context.Context, stream *quic.Stream, handle Handler) {
	defer func() { _ = stream.Close() }()
	request := &wire.PeerRequest{}
	if err := readMessage(stream, request); err != nil {
		stream.CancelRead(0)
		t.config.Log.Debug("failed to read a peer request", "error", err)
		return
	}
	if request.GetForward() != nil {
		t.beginForward()
		defer t.endForward()
	}
	response := handle(ctx, request)
	payload, err := proto.Marshal(response)
	if err != nil {
		t.config.Log.Error("failed to encode a peer response", "error", err)
		return
	}
	_, _ = stream.Write(payload)
}

func (t *Transport) beginForward() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runningForwards++
}

func (t *Transport) endForward() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runningForwards--
	t.lastResponseAt = time.Now()
}

// Drain waits until no forwarded request runs here and the last response has had
// time to arrive, or until the context ends. Closing the transport discards
// whatever a peer has not received yet.
func (t *Transport) Drain(ctx context.Context) {
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for !t.isDrained() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *Transport) isDrained() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runningForwards == 0 && time.Since(t.lastResponseAt) >= responseDeliveryTime
}

// Call implements Network. A call without a response closes its connection, because
// the peer may have been replaced or the network path may no longer work.
func (t *Transport) Call(ctx context.Context, address string, request *wire.PeerRequest) (*wire.PeerResponse, error) {
	payload, err := proto.Marshal(request)
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "encoding a request to peer %s", address)
	}
	conn, err := t.getConn(ctx, address)
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "connecting to peer %s", address)
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		t.dropConn(address, conn)
		return nil, ErrUnreachable.Wrap(err, "opening a stream to peer %s", address)
	}
	response, err := roundTrip(ctx, stream, payload)
	if err != nil {
		t.dropConn(address, conn)
		return nil, ErrNoResponse.Wrap(err, "calling peer %s", address)
	}
	if response.GetError() != "" {
		return nil, ErrRefused.New("peer %s: %s", address, response.GetError())
	}
	return response, nil
}

// roundTrip writes a request to a stream and reads the response.
func roundTrip(ctx context.Context, stream *quic.Stream, payload []byte) (*wire.PeerResponse, error) {
	defer stream.CancelRead(0)
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Now()) })
	defer stop()
	if _, err := stream.Write(payload); err != nil {
		return nil, err
	}
	if err := stream.Close(); err != nil {
		return nil, err
	}
	response := &wire.PeerResponse{}
	return response, readMessage(stream, response)
}

// readMessage decodes everything up to the end of a stream. An empty stream is an
// error, because every message has a body.
func readMessage(stream *quic.Stream, into proto.Message) error {
	payload, err := io.ReadAll(io.LimitReader(stream, maxMessageBytes))
	if err != nil {
		return err
	}
	if len(payload) == 0 {
		return io.ErrUnexpectedEOF
	}
	return proto.Unmarshal(payload, into)
}

// getConn returns the open connection to an address, or dials one.
func (t *Transport) getConn(ctx context.Context, address string) (*quic.Conn, error) {
	t.mu.Lock()
	conn := t.conns[address]
	t.mu.Unlock()
	if conn != nil && conn.Context().Err() == nil {
		return conn, nil
	}
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	config := t.config.TLS.Clone()
	config.ServerName = udp.IP.String()
	dialed, err := t.quic.Dial(ctx, udp, config, t.config.quic())
	if err != nil {
		return nil, err
	}
	return t.storeConn(address, dialed), nil
}

// storeConn stores a new connection, unless another one was stored while it was
// dialed; then it closes the new one. It returns the connection to use.
func (t *Transport) storeConn(address string, dialed *quic.Conn) *quic.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if conn := t.conns[address]; conn != nil && conn.Context().Err() == nil {
		_ = dialed.CloseWithError(closeReplaced, "another connection is in use")
		return conn
	}
	t.conns[address] = dialed
	return dialed
}

// dropConn closes a connection on which a call failed and stops using it.
func (t *Transport) dropConn(address string, conn *quic.Conn) {
	t.mu.Lock()
	if t.conns[address] == conn {
		delete(t.conns, address)
	}
	t.mu.Unlock()
	_ = conn.CloseWithError(closeReplaced, "no answer")
}

// Disconnect closes the connection to an address, so that the next call dials a
// new one.
func (t *Transport) Disconnect(address string) {
	t.mu.Lock()
	conn := t.conns[address]
	delete(t.conns, address)
	t.mu.Unlock()
	if conn != nil {
		_ = conn.CloseWithError(closeReplaced, "the peer has started again")
	}
}

// Close closes all connections, the listener and the socket.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conn := range t.conns {
		_ = conn.CloseWithError(closeStopping, "stopping")
	}
	_ = t.listener.Close()
	_ = t.quic.Close()
	_ = t.quic.Conn.Close()
}
